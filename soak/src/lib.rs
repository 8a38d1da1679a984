//! Runs the platform's programs as separate processes on loopback and injects faults from outside.
//!
//! A [`plan::Plan`] belongs to a seed. [`run::run`] plays it with real sockets, signals and clocks,
//! against stand-ins of the store, the fabric, the clients and the servers, and checks the
//! guarantees from what clients and servers see.

pub mod fabric;
pub mod host;
pub mod network;
pub mod packet;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod store;
