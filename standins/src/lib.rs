//! Stand-ins for the systems around flamingofall, for tests, examples and benches.
//!
//! Nothing here uses the `flamingofall` crate: the stand-ins implement the published formats on
//! their own, so that a test that uses them verifies those formats independently of the
//! implementation. Every stand-in runs as a tokio task on loopback ports that the operating system
//! picks, and stops when its handle is dropped.
//!
//! In a deployment, balancers and agents forward packets from the fabric to the servers. A test
//! that needs neither registers a server with the fabric in place of a balancer:
//!
//! ```
//! use std::time::Duration;
//! use flamingofall_standins::caller::{Caller, Options};
//! use flamingofall_standins::fabric::Fabric;
//! use flamingofall_standins::protocol::{Kind, Request, Status};
//! use flamingofall_standins::server::{Config, Server};
//!
//! # #[tokio::main]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let service = "10.1.0.1:80".parse()?;
//! let fabric = Fabric::start(1).await?;
//! let server = Server::start(Config::new("a", "portal", service, fabric.address())).await?;
//! fabric.add_balancer(server.address());
//!
//! let caller = Caller::start(fabric.attach("10.9.0.1".parse()?), 1);
//! let flow = caller.connect(service, Options::default()).await?;
//! let request = Request {
//!     id: "1".to_owned(),
//!     kind: Kind::Order,
//!     size: 10_000,
//!     ..Request::default()
//! };
//! let response = flow.request(request, Duration::from_secs(5)).await?;
//! assert_eq!(response.status, Status::Done);
//! assert!(response.correct);
//! # Ok(())
//! # }
//! ```
#![deny(missing_docs)]

pub mod caller;
pub mod effect;
pub mod fabric;
pub mod harness;
pub mod http;
pub mod loopback;
pub mod occupancy;
pub mod protocol;
pub mod report;
mod segment;
pub mod server;
mod stack;
pub mod store;
mod task;
mod udp;
