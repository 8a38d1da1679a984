//! Forwarding through agents that share evidence instead of claims.
//!
//! A [`balancer::Balancer`] places each new flow on an agent by weighted rendezvous and remembers
//! the agent that accepted it. An [`agent::Agent`] gives packets to its backend server and passes
//! on what the server returns, so a flow is found again by asking the candidates in their order,
//! and no flow state has to be replicated. Both are state machines without I/O: inputs are
//! packets, messages, directory contents and ticks, outputs are appended to a list.

pub mod agent;
mod agent_flow;
pub mod balancer;
mod balancer_flow;
pub mod log_event;
pub mod message;
pub mod response_stats;
pub mod roster;
pub mod routes;
pub mod segment;
pub mod snapshot;
