//! What a backend server tells its agent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Connections, Incarnation, Service, Slots};

/// A server that has not announced itself for this long is gone.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(2);
/// A load report older than this is ignored.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Is starting and takes no flows yet.
    Joining,
    /// Takes new flows.
    #[default]
    Active,
    /// Takes no new flows and finishes those it has.
    Draining,
    /// Is ending.
    Down,
}

/// The body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the server runs.
    pub service: Service,
    /// The server's address: packets over UDP, the load endpoint over TCP.
    pub address: SocketAddr,
    /// The server's run; a restarted server has another one.
    pub incarnation: Incarnation,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Connections that it holds at most.
    pub connections: Connections,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// The answer of the server's load endpoint. It may be late or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Connections that the server has open.
    #[serde(default)]
    pub open: u32,
    /// Connections that it is willing to hold, if fewer than announced.
    #[serde(default)]
    pub limit: Option<Connections>,
}

impl Announcement {
    /// What the announcement means for the agent; nothing while the server is starting.
    pub fn into_event(self) -> Option<Event> {
        match self.state {
            State::Joining => None,
            State::Active | State::Draining => Some(Event::Announced(self)),
            State::Down => Some(Event::Gone),
        }
    }
}

/// An event about the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server announced itself.
    Announced(Announcement),
    /// The server reported its load.
    Reported(LoadReport),
    /// The server's process has ended.
    Gone,
}
