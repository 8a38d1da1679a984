//! Layer-4 load balancer that is shared by many services.
//!
//! The decisions are made by modules without I/O (the core). The daemons `flamingofall-balancer`
//! and `flamingofall-agent` connect them to sockets and timers. See `docs/design.md`.

pub mod admission;
pub mod agent;
pub mod agentd;
pub mod balancerd;
pub mod catalog;
pub mod cli;
pub mod clock;
pub mod collector;
pub mod config;
pub mod control;
pub mod control_rpc;
pub mod convert;
pub mod daemon;
pub mod datapath;
pub mod decision;
pub mod encap;
pub mod explain;
pub mod files;
pub mod fleet;
pub mod flow;
pub mod gossip;
pub mod hash;
pub mod heartbeat;
pub mod http;
pub mod id;
pub mod jsonc;
pub mod load;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod output;
pub mod packet;
pub mod publish;
pub mod rank;
pub mod registry;
pub mod retry;
pub mod router;
pub mod routing;
pub mod server;
pub mod settings;
pub mod status;
pub mod steering;
pub mod store;
pub mod store_http;
pub mod transfer;
pub mod view;
pub mod wire;
