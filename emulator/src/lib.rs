//! Simulates balancers and agents in virtual time, with models of clients, servers, links and the
//! directory.
//!
//! A [`scenario::Scenario`] lists the processes and the faults; [`simulation::simulate`] runs it
//! with a seed and returns a [`report::Report`] with what clients received and which guarantees
//! were violated. Balancers and agents are the state machines of [`flamingofall::steering`] as they
//! run in production; everything around them is a model.

pub mod check;
pub mod cli;
pub mod client;
pub mod directory;
pub mod experiment;
pub mod packet;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod server;
pub mod simulation;
