//! Announcements and load reports that an agent receives from its backend server.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Connections, Incarnation, Service, Slots};

/// Time after the last announcement at which the agent considers the server stopped.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(2);
/// Age from which a load report is ignored.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// State that a server announces, in lower case in JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Starting; accepts no flows yet.
    Joining,
    /// Accepts new flows.
    #[default]
    Active,
    /// Accepts no new flows and completes the open ones.
    Draining,
    /// Shutting down.
    Down,
}

/// Body of `POST /v1/announce`. The server repeats it within [`ANNOUNCEMENT_LIFETIME`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the server belongs to.
    pub service: Service,
    /// Address of the server: it receives packets over UDP, and its load endpoint listens on TCP.
    /// The agent uses it for the load endpoint only; packets go to the address in the agent's
    /// settings.
    pub address: SocketAddr,
    /// Identifies one run of the server; a restarted server announces another value.
    pub incarnation: Incarnation,
    /// Maximum number of requests that the server runs at the same time.
    pub slots: Slots,
    /// Maximum number of open connections.
    pub connections: Connections,
    /// Whether the server accepts new flows; `active` if the key is missing.
    #[serde(default)]
    pub state: State,
}

/// Load as reported by the server's load endpoint. It may be late or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of open connections.
    #[serde(default)]
    pub open: u32,
    /// Maximum number of connections at present, if lower than announced; 0 if the server accepts
    /// no new flows.
    #[serde(default)]
    pub limit: Option<Connections>,
}

impl Announcement {
    /// Converts the announcement into an event for the agent; `None` while the server is starting.
    pub fn into_event(self) -> Option<Event> {
        match self.state {
            State::Joining => None,
            State::Active | State::Draining => Some(Event::Announced(self)),
            State::Down => Some(Event::Gone),
        }
    }
}

/// Event about the local server that the daemon passes to the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server announced that it is active or draining.
    Announced(Announcement),
    /// The load endpoint answered.
    Reported(LoadReport),
    /// The server announced that it is shutting down.
    Gone,
}
