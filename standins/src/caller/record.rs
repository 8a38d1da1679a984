//! Records of a caller's flows: state, times and counts of answers.

use std::net::SocketAddr;
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Transport protocol of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// A connection that carries any number of requests.
    Tcp,
    /// One request in one datagram, which may be sent repeatedly.
    Udp,
}

/// State of a flow, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// TCP: the handshake is not complete. UDP: the request is not answered yet.
    Opening,
    /// TCP: established, and no request is overdue.
    Open,
    /// Ended as intended: closed by the caller, or answered over UDP.
    Closed,
    /// Refused: RST in reply to the SYN, or ICMP unreachable for an opening connection or for a UDP
    /// request. The caller takes it that nothing was delivered.
    Refused,
    /// TCP: reset after it was established.
    Reset,
    /// TCP: closed by the other side while the caller had it open.
    Ended,
    /// The flow or one of its requests timed out. An open connection returns to [`Outcome::Open`]
    /// when all overdue requests have been answered.
    TimedOut,
}

/// What is known about one flow, counted from its opening on.
#[derive(Clone, Debug)]
pub struct Record {
    /// Transport protocol; with UDP the flow has one request.
    pub protocol: Protocol,
    /// IP address and port on the caller's side.
    pub local: SocketAddr,
    /// Address of the service that the flow was opened to.
    pub remote: SocketAddr,
    /// When the flow was opened and its first packet sent.
    pub opened: Instant,
    /// When the TCP handshake was complete, or when the first correct answer over UDP arrived;
    /// `None` before that.
    pub established: Option<Instant>,
    /// State of the flow, or how it ended.
    pub outcome: Outcome,
    /// Requests made, including repeated ids, without retransmissions and cancellations.
    pub requests: u32,
    /// Complete answers whose bytes match the request's pattern and size.
    pub answers: u32,
    /// Complete answers with wrong bytes or a wrong length, and received data that cannot be parsed
    /// as an answer.
    pub corrupt: u32,
    /// Answers or parts of answers whose request id this flow has not sent.
    pub foreign: u32,
    /// Answers or parts of answers from a service other than [`Options::service`].
    ///
    /// [`Options::service`]: super::Options::service
    pub misdelivered: u32,
    /// Requests that timed out or that the end of the flow left without an answer. An answer after
    /// a timeout takes back all timeouts of its request id.
    pub unanswered: u32,
    /// Bytes received in the bodies of answers, whether or not they are correct.
    pub bytes: u64,
}

impl Record {
    pub(super) fn new(
        protocol: Protocol,
        local: SocketAddr,
        remote: SocketAddr,
        now: Instant,
    ) -> Self {
        Self {
            protocol,
            local,
            remote,
            opened: now,
            established: None,
            outcome: Outcome::Opening,
            requests: 0,
            answers: 0,
            corrupt: 0,
            foreign: 0,
            misdelivered: 0,
            unanswered: 0,
            bytes: 0,
        }
    }

    /// Whether the flow is a TCP connection that was established and then reset, closed by the
    /// other side, or timed out.
    pub fn is_broken(&self) -> bool {
        let lost = matches!(
            self.outcome,
            Outcome::Reset | Outcome::Ended | Outcome::TimedOut
        );
        self.protocol == Protocol::Tcp && self.established.is_some() && lost
    }
}
