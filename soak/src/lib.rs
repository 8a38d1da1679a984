//! Runs the platform's programs as separate processes on loopback addresses and injects faults
//! through signals, proxies and a faulty store.
//!
//! A [`plan::Plan`] is generated from a seed. [`run::run`] executes it with real sockets, signals
//! and clocks, against simulated clients, servers, a store and a network fabric. It checks the
//! platform's guarantees from the packets that clients and servers receive.

pub mod fabric;
pub mod host;
pub mod network;
pub mod packet;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod store;
