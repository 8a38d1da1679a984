//! Plays balancers and agents in virtual time against models of clients, servers, links and the
//! directory.
//!
//! A [`scenario::Scenario`] lists what exists and what fails when; [`simulation::simulate`] plays it
//! with a seed and returns a [`report::Report`] with what clients received and which guarantees were
//! violated. Balancers and agents are the state machines of [`flamingofall::steering`] as they run in
//! production; everything around them is a model.

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
