//! A caller: a host with one IP address that opens flows through the fabric.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::fabric::Port;
use crate::protocol::{Request, Status};
use crate::task::Task;

mod flow;
mod record;
mod responses;
mod worker;

pub use record::{Outcome, Protocol, Record};

/// Time after which an opening flow, or one whose data is not acknowledged, is given up.
pub const TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Interval at which an unanswered datagram is sent again.
pub const REPEAT_DEFAULT: Duration = Duration::from_millis(500);

/// Why a flow or a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// RST to the SYN, or ICMP unreachable: not run.
    Refused,
    /// The established connection was reset.
    Reset,
    /// The other side closed the connection, or the caller did.
    Closed,
    /// No answer in time.
    TimedOut,
    /// The local port is in use towards this address.
    PortInUse,
    /// The caller has stopped.
    Stopped,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::Closed => "closed",
            Self::TimedOut => "timed out",
            Self::PortInUse => "the port is in use",
            Self::Stopped => "the caller has stopped",
        })
    }
}

impl std::error::Error for Failure {}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// How the request ended.
    pub status: Status,
    /// Name of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Pattern bytes received.
    pub bytes: u64,
    /// The bytes are complete and those of the request.
    pub correct: bool,
}

/// How a flow is opened.
#[derive(Clone, Debug)]
pub struct Options {
    /// The local port. A new one is used by default.
    pub local_port: Option<u16>,
    /// Time after which the flow is given up.
    pub timeout: Duration,
    /// UDP: interval at which an unanswered datagram is sent again; `None` for no repetition.
    pub repeat: Option<Duration>,
    /// Service whose answers are expected; answers of another one are counted.
    pub service: Option<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            local_port: None,
            timeout: TIMEOUT_DEFAULT,
            repeat: Some(REPEAT_DEFAULT),
            service: None,
        }
    }
}

/// Identifies a flow within its caller.
type FlowId = u64;

enum Command {
    Connect {
        remote: SocketAddr,
        options: Options,
        reply: oneshot::Sender<Result<(FlowId, SocketAddr), Failure>>,
    },
    Exchange {
        remote: SocketAddr,
        options: Options,
        request: Request,
        reply: responses::ResponseSender,
    },
    Send {
        flow: FlowId,
        request: Request,
        timeout: Duration,
        reply: responses::ResponseSender,
    },
    Cancel {
        flow: FlowId,
        id: String,
    },
    CancelExchange {
        remote: SocketAddr,
        local_port: u16,
        id: String,
    },
    Close {
        flow: FlowId,
    },
    Abort {
        flow: FlowId,
    },
    Forget {
        flow: FlowId,
    },
}

type Records = Arc<Mutex<HashMap<FlowId, Record>>>;

/// A running caller.
pub struct Caller {
    ip: IpAddr,
    commands: mpsc::UnboundedSender<Command>,
    records: Records,
    _task: Task,
}

impl Caller {
    /// Starts a caller on its attachment to the fabric. Its ports and sequence numbers follow
    /// from `seed`.
    pub fn start(port: Port, seed: u64) -> Self {
        let ip = port.ip();
        let (commands, receiver) = mpsc::unbounded_channel();
        let records = Records::default();
        let worker = worker::Worker::new(port, receiver, records.clone(), seed);
        Self {
            ip,
            commands,
            records,
            _task: Task::spawn(worker.run()),
        }
    }

    /// The caller's address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Opens a connection.
    pub async fn connect(&self, remote: SocketAddr, options: Options) -> Result<Flow, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Connect {
            remote,
            options,
            reply,
        };
        let _ = self.commands.send(command);
        let (id, local) = answer.await.map_err(|_| Failure::Stopped)??;
        Ok(Flow {
            id,
            local,
            remote,
            commands: self.commands.clone(),
        })
    }

    /// Sends a request over UDP and waits for the answer.
    pub async fn exchange(
        &self,
        remote: SocketAddr,
        request: Request,
        options: Options,
    ) -> Result<Response, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Exchange {
            remote,
            options,
            request,
            reply,
        };
        let _ = self.commands.send(command);
        answer.await.map_err(|_| Failure::Stopped)?
    }

    /// Cancels a request over UDP that is under way from a local port. The request gets the answer.
    pub fn cancel_exchange(&self, remote: SocketAddr, local_port: u16, id: &str) {
        let _ = self.commands.send(Command::CancelExchange {
            remote,
            local_port,
            id: id.to_owned(),
        });
    }

    /// All flows so far, in the order in which they were opened.
    pub fn records(&self) -> Vec<Record> {
        let records = self.records.lock().unwrap();
        let mut by_id: Vec<_> = records.iter().collect();
        by_id.sort_by_key(|(id, _)| **id);
        by_id
            .into_iter()
            .map(|(_, record)| record.clone())
            .collect()
    }
}

/// An established connection. It stays open until it is closed or dropped.
#[derive(Debug)]
pub struct Flow {
    id: FlowId,
    local: SocketAddr,
    remote: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

impl Flow {
    /// The caller's address.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// The service's address.
    pub fn remote(&self) -> SocketAddr {
        self.remote
    }

    /// Sends a request and waits for its answer. Several requests may be under way.
    pub async fn request(&self, request: Request, timeout: Duration) -> Result<Response, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Send {
            flow: self.id,
            request,
            timeout,
            reply,
        };
        let _ = self.commands.send(command);
        answer.await.map_err(|_| Failure::Stopped)?
    }

    /// Cancels a request that is under way. The request gets the answer.
    pub fn cancel(&self, id: &str) {
        let _ = self.commands.send(Command::Cancel {
            flow: self.id,
            id: id.to_owned(),
        });
    }

    /// Closes the connection with a FIN.
    pub fn close(self) {}

    /// Closes the connection with a RST. Its port can be used again at once.
    pub fn abort(self) {
        let _ = self.commands.send(Command::Abort { flow: self.id });
    }

    /// Drops the connection without a packet, as a caller that lost its power. Its port can be
    /// used again at once.
    pub fn forget(self) {
        let _ = self.commands.send(Command::Forget { flow: self.id });
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Close { flow: self.id });
    }
}
