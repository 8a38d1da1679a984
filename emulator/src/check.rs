//! Checks of the guarantees, from what clients send and servers receive.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use flamingofall::packet::Flow;

use crate::client::Outcome;

/// Span in which packets of an open flow may all reach other servers.
const MISROUTED_DURATION_MIN: Duration = Duration::from_secs(2);
/// Packets that must have gone astray in that span.
const MISROUTED_PACKETS_MIN: u32 = 3;

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A flow was reset while its server held it.
    Reset {
        /// Who reset it.
        by: String,
        /// The flow.
        flow: Flow,
        /// The server that holds it.
        server: String,
    },
    /// Packets of an open flow reach other servers only.
    Misrouted(Flow),
    /// A new flow reached a server that has been draining for too long.
    NewFlowAfterDrain {
        /// The flow.
        flow: Flow,
        /// The server.
        server: String,
    },
    /// A new flow reached a service that its address never had.
    WrongService {
        /// The flow.
        flow: Flow,
        /// The server.
        server: String,
    },
    /// A request that isn't repeated ran twice.
    ExecutedTwice {
        /// The request.
        id: u64,
        /// Where it ran first.
        first: String,
        /// Where it ran second.
        second: String,
    },
    /// A request ran that its client takes for refused.
    ExecutedButRefused(u64),
    /// A message between processes can't be read.
    MalformedMessage(String),
    /// A packet that its sender didn't write so reached someone.
    Forged(String),
    /// A flow followed a configuration that was replaced long before.
    OutdatedConfiguration(Flow),
    /// A process ended by itself.
    ProcessExited(String),
    /// Too few requests were served after the last fault.
    NotRecovered {
        /// Served requests.
        served: u64,
        /// Failed requests.
        failed: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reset { by, flow, server } => write!(f, "{by} reset {flow} which {server} holds"),
            Self::Misrouted(flow) => write!(f, "packets of {flow} don't reach its server"),
            Self::NewFlowAfterDrain { flow, server } => {
                write!(f, "{flow} reached {server} after its drain")
            }
            Self::WrongService { flow, server } => {
                write!(f, "{flow} reached {server} of another service")
            }
            Self::ExecutedTwice { id, first, second } => {
                write!(f, "request {id} ran at {first} and again at {second}")
            }
            Self::ExecutedButRefused(id) => write!(f, "request {id} was refused and ran"),
            Self::MalformedMessage(error) => write!(f, "unreadable message: {error}"),
            Self::Forged(to) => write!(f, "a packet that no sender wrote reached {to}"),
            Self::OutdatedConfiguration(flow) => {
                write!(f, "{flow} followed an older configuration")
            }
            Self::ProcessExited(process) => write!(f, "{process} ended by itself"),
            Self::NotRecovered { served, failed } => {
                write!(
                    f,
                    "{served} requests served after the recovery, {failed} failed"
                )
            }
        }
    }
}

/// A client's packet that reaches a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its flow.
    pub flow: Flow,
    /// Whether it opens the flow.
    pub opening: bool,
    /// The server.
    pub server: &'a str,
    /// The server's service.
    pub service: &'a str,
    /// Whether the server holds the flow.
    pub holds_flow: bool,
    /// Whether another server that can be reached holds it.
    pub held_elsewhere: bool,
    /// When it became known that the server drains.
    pub draining_since: Option<Duration>,
}

/// Follows flows and requests.
#[derive(Debug)]
pub struct Checker {
    drain_grace: Duration,
    allowed: HashSet<(SocketAddr, String)>,
    misrouted: HashMap<Flow, (Duration, u32)>,
    /// Where requests ran, and whether their clients repeat them.
    executions: HashMap<u64, (String, bool)>,
    refused: HashSet<u64>,
}

impl Checker {
    /// A checker that lets new flows reach a draining server for `drain_grace`.
    pub fn new(drain_grace: Duration) -> Self {
        Self {
            drain_grace,
            allowed: HashSet::new(),
            misrouted: HashMap::new(),
            executions: HashMap::new(),
            refused: HashSet::new(),
        }
    }

    /// A configuration sends flows of the address to the service.
    pub fn allow(&mut self, address: SocketAddr, service: &str) {
        self.allowed.insert((address, service.to_owned()));
    }

    /// A packet reaches a server.
    pub fn packet_arrived(&mut self, arrival: &Arrival<'_>, now: Duration) -> Option<Violation> {
        let flow = arrival.flow;
        let server = || arrival.server.to_owned();
        if arrival.opening {
            if arrival
                .draining_since
                .is_some_and(|since| now > since + self.drain_grace)
            {
                let server = server();
                return Some(Violation::NewFlowAfterDrain { flow, server });
            }
            let key = (flow.destination, arrival.service.to_owned());
            if !self.allowed.contains(&key) {
                let server = server();
                return Some(Violation::WrongService { flow, server });
            }
            return None;
        }
        if arrival.holds_flow || !arrival.held_elsewhere {
            self.misrouted.remove(&flow);
            return None;
        }
        let (since, count) = self.misrouted.entry(flow).or_insert((now, 0));
        *count += 1;
        if *count < MISROUTED_PACKETS_MIN || now <= *since + MISROUTED_DURATION_MIN {
            return None;
        }
        self.misrouted.remove(&flow);
        Some(Violation::Misrouted(flow))
    }

    /// A server begins to work on a request. `server_and_flow` names the server and the flow.
    pub fn request_started(
        &mut self,
        id: u64,
        may_repeat: bool,
        server_and_flow: String,
    ) -> Option<Violation> {
        if self.refused.contains(&id) {
            return Some(Violation::ExecutedButRefused(id));
        }
        let (first, _) = self
            .executions
            .insert(id, (server_and_flow.clone(), may_repeat))?;
        let second = server_and_flow;
        (!may_repeat).then_some(Violation::ExecutedTwice { id, first, second })
    }

    /// A request has ended at its client.
    pub fn request_ended(&mut self, id: u64, outcome: Outcome) -> Option<Violation> {
        if outcome != Outcome::Refused {
            return None;
        }
        self.refused.insert(id);
        let ran = self.executions.get(&id);
        ran.is_some_and(|(_, may_repeat)| !may_repeat)
            .then_some(Violation::ExecutedButRefused(id))
    }
}
