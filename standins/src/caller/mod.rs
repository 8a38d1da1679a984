//! A caller: a host with one IP address that opens TCP and UDP flows through the [`fabric`].
//!
//! A [`Caller`] and its [`Flow`]s are handles: they send commands to a task that owns the
//! attachment to the fabric and the endpoints of all flows. Each flow has a [`Record`] that stays
//! after its end.
//!
//! [`fabric`]: crate::fabric

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

/// Default of [`Options::timeout`].
pub const TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Default of [`Options::repeat`].
pub const REPEAT_DEFAULT: Duration = Duration::from_millis(500);

/// Why a flow could not be opened or a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// RST in reply to the SYN, or ICMP unreachable for an opening connection or for a UDP request.
    /// The caller takes it that the request was not run.
    Refused,
    /// The connection was reset after it was established.
    Reset,
    /// The connection was closed by the other side, or by the caller with [`Flow::close`],
    /// [`Flow::abort`] or [`Flow::forget`].
    Closed,
    /// The connection made no progress, or the request got no answer, within its timeout.
    TimedOut,
    /// Another open flow of the same protocol uses the local port towards this remote address, or
    /// no local port is free towards it.
    PortInUse,
    /// The caller or its fabric has stopped, or a later request with the same id on the same flow
    /// replaced this one.
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

/// A complete answer, with all its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// How the request ended, as the server reports it.
    pub status: Status,
    /// Name of the server that sent the answer.
    pub server: String,
    /// Service that the server belongs to, to detect answers of the wrong service.
    pub service: String,
    /// Bytes received in the bodies of all parts.
    pub bytes: u64,
    /// Whether the bodies contain the pattern of the request id, without gaps and, if the request
    /// was done, in the requested size.
    pub correct: bool,
}

/// How a flow is opened.
#[derive(Clone, Debug)]
pub struct Options {
    /// Local port; `None` for the next free one. A port whose flow the caller has closed can be
    /// used again at once.
    pub local_port: Option<u16>,
    /// TCP: longest time that an opening connection waits, or that sent data stays without an
    /// acknowledgement, before the flow times out. UDP: longest time to wait for the answer.
    pub timeout: Duration,
    /// UDP: interval at which the request is sent again until it is answered; `None` to send it
    /// once. TCP ignores it.
    pub repeat: Option<Duration>,
    /// Service that the answers are expected from; those of another service are counted in
    /// [`Record::misdelivered`]. `None` for no check.
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

/// Identifies a flow within its caller. Ids ascend in the order in which flows are opened.
type FlowId = u64;

/// Commands from the handles to the worker.
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

/// A running caller. It stops when it is dropped.
pub struct Caller {
    ip: IpAddr,
    commands: mpsc::UnboundedSender<Command>,
    records: Records,
    _task: Task,
}

impl Caller {
    /// Starts a caller on an attachment to the fabric. `seed` determines the first local port, the
    /// initial sequence numbers and the other random values of the endpoints.
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

    /// The only IP address of the caller, the one that its fabric attachment has.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Opens a TCP connection and waits until it is established.
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

    /// Sends a request over UDP and waits for the answer. Each call is a flow of its own. The
    /// body of the answer has at most [`DATAGRAM_BODY_MAX_BYTES`], even if the request asks for
    /// more.
    ///
    /// [`DATAGRAM_BODY_MAX_BYTES`]: crate::protocol::DATAGRAM_BODY_MAX_BYTES
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

    /// Sends one datagram that cancels the request `id`, on the UDP flow between `local_port` and
    /// `remote`; without such a flow it does nothing. The answer is returned by the pending call of
    /// [`Caller::exchange`].
    pub fn cancel_exchange(&self, remote: SocketAddr, local_port: u16, id: &str) {
        let _ = self.commands.send(Command::CancelExchange {
            remote,
            local_port,
            id: id.to_owned(),
        });
    }

    /// Records of all flows so far, in the order in which the flows were opened.
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

/// An established TCP connection. Dropping it closes it, as [`Flow::close`] does.
#[derive(Debug)]
pub struct Flow {
    id: FlowId,
    local: SocketAddr,
    remote: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

impl Flow {
    /// IP address and port on the caller's side.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Address of the service that the connection was opened to.
    pub fn remote(&self) -> SocketAddr {
        self.remote
    }

    /// Sends a request and waits for its answer. Several requests may be pending at a time. After
    /// a timeout the connection stays open, and the same id can be sent again to query the result.
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

    /// Asks the server to cancel the request `id`. The answer is returned by the pending call of
    /// [`Flow::request`].
    pub fn cancel(&self, id: &str) {
        let _ = self.commands.send(Command::Cancel {
            flow: self.id,
            id: id.to_owned(),
        });
    }

    /// Closes the connection with a FIN, after the requests that were made before.
    pub fn close(self) {}

    /// Closes the connection with a RST. Its port can be used again at once.
    pub fn abort(self) {
        let _ = self.commands.send(Command::Abort { flow: self.id });
    }

    /// Drops the connection without sending a packet, as a caller does that loses power. Its port
    /// can be used again at once.
    pub fn forget(self) {
        let _ = self.commands.send(Command::Forget { flow: self.id });
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Close { flow: self.id });
    }
}
