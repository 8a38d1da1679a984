//! Layer-4 forwarding without replicated flow state.
//!
//! A [`balancer::Balancer`] places each new flow on an agent by weighted rendezvous hashing and
//! remembers the agent whose server accepted it. An [`agent::Agent`] delivers packets to its
//! backend server, and forwards a packet that the server returns to the next candidate. A balancer
//! that doesn't know a flow's agent sends the packet along the candidates in their order. Both are
//! state machines without I/O: inputs are packets, messages, directory contents and ticks, outputs
//! are appended to a list.

pub mod agent;
mod agent_flow;
pub mod backoff;
pub mod balancer;
mod balancer_flow;
pub mod log_event;
pub mod message;
pub mod response_stats;
pub mod roster;
pub mod routes;
mod search;
pub mod segment;
pub mod snapshot;
pub mod watch;
