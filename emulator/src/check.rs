//! Checks of the guarantees that the load balancer gives for flows and requests.
//!
//! A [`Checker`] sees which packets reach which servers and how requests end. The soak uses the
//! same checks with real processes.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use flamingofall::packet::Flow;

use crate::client::Outcome;

/// Time for which all packets of an open flow may reach other servers before it is a violation.
const MISROUTED_DURATION_MIN: Duration = Duration::from_secs(2);
/// Least number of packets to other servers, with none to its own in between, for a violation.
const MISROUTED_PACKETS_MIN: u32 = 3;

/// A violated guarantee. Its text is the `broken` line of a run's output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A balancer or an agent reset a flow that a server holds.
    Reset {
        /// Address of the process that sent the reset, or a name for the system under test.
        by: String,
        /// The flow that was reset.
        flow: Flow,
        /// Name of the server that holds the flow.
        server: String,
    },
    /// All packets of this open flow reach other servers than the one that holds it.
    Misrouted(Flow),
    /// The opening packet of a flow reached a server that has been draining for too long.
    NewFlowAfterDrain {
        /// The flow that was opened.
        flow: Flow,
        /// Name of the draining server.
        server: String,
    },
    /// The opening packet of a flow reached a server of a service to which no configuration so far
    /// sends flows of this address.
    WrongService {
        /// The flow that was opened.
        flow: Flow,
        /// Name of the server of the other service.
        server: String,
    },
    /// A request whose client doesn't repeat it was executed twice.
    ExecutedTwice {
        /// Id of the request.
        id: u64,
        /// Server and flow of the first execution.
        first: String,
        /// Server and flow of the second execution.
        second: String,
    },
    /// The request with this id was refused to its client, and a server executed it.
    ExecutedButRefused(u64),
    /// A message between balancers and agents can't be decoded, for the reason given.
    MalformedMessage(String),
    /// A packet that differs from what its sender wrote reached the receiver given. Only the soak
    /// checks this.
    Forged(String),
    /// This flow was placed by a configuration that had been replaced long before. Only the soak
    /// checks this.
    OutdatedConfiguration(Flow),
    /// This process exited although nothing stopped or killed it. Only the soak checks this.
    ProcessExited(String),
    /// Too few requests were served after the last fault. Only the soak checks this.
    NotRecovered {
        /// Requests served after the last fault.
        served: u64,
        /// Requests that failed after the last fault.
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

/// The arrival of a client's packet at a server, with the state of the servers before it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The packet's flow.
    pub flow: Flow,
    /// Whether the packet opens the flow.
    pub opening: bool,
    /// Name of the server that gets the packet.
    pub server: &'a str,
    /// Service of that server.
    pub service: &'a str,
    /// Whether the flow is open at that server.
    pub holds_flow: bool,
    /// Whether the flow is open at another server that the packet should have reached.
    pub held_elsewhere: bool,
    /// Whether the guarantee covers the host of the server that gets the packet: it had no
    /// unplanned faults recently.
    pub host_stable: bool,
    /// Time at which the server reported that it drains.
    pub draining_since: Option<Duration>,
}

/// Follows flows and requests and reports violations. Times are relative to the start of the run.
#[derive(Debug)]
pub struct Checker {
    drain_grace: Duration,
    /// Services to which a configuration sends flows of an address.
    allowed: HashSet<(SocketAddr, String)>,
    /// Time of the first packet that reached another server, and number of such packets since.
    misrouted: HashMap<Flow, (Duration, u32)>,
    /// Last execution of each request, and whether its client may repeat it.
    executions: HashMap<u64, (String, bool)>,
    /// Requests that were refused to their clients.
    refused: HashSet<u64>,
}

impl Checker {
    /// Creates a checker that lets new flows reach a draining server for `drain_grace` after it has
    /// reported the drain.
    pub fn new(drain_grace: Duration) -> Self {
        Self {
            drain_grace,
            allowed: HashSet::new(),
            misrouted: HashMap::new(),
            executions: HashMap::new(),
            refused: HashSet::new(),
        }
    }

    /// Records that a configuration sends flows of the address to the service. The service stays
    /// allowed after later configurations.
    pub fn allow(&mut self, address: SocketAddr, service: &str) {
        self.allowed.insert((address, service.to_owned()));
    }

    /// Records that a client uses the addresses and ports of an earlier flow, which has ended.
    pub fn port_reused(&mut self, flow: &Flow) {
        self.misrouted.remove(flow);
    }

    /// Records that a client's packet reaches a server.
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
        // The packet may have waited on that host. It doesn't count, nor does it clear the others.
        if !arrival.host_stable {
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

    /// Records that a server begins to process a request; `server_and_flow` names both in the text
    /// of a violation. `may_repeat` says whether the client repeats a request that may have been
    /// executed.
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

    /// Records how a request ended at its client.
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
