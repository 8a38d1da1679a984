//! Actions that a balancer's control plane requests from its caller, and events that it reports.

use std::net::SocketAddr;

use strum::{Display, IntoStaticStr};

use crate::catalog::Offer;
use crate::id::{Digest, Domain, Generation, Incarnation, Member, Sequence, Service};
use crate::store;
use crate::wire::{Body, Message};

/// One action for the caller to carry out. The control plane itself performs no I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddr,
        /// The content.
        message: Message,
    },
    /// Call the store. The caller passes the answers back to the control plane.
    Store(store::Call),
    /// An event to log and to count.
    Event(Event),
}

/// A change or a fault in the control plane. The kebab-case name is the event's name in logs and
/// metrics.
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Event {
    /// This balancer declared a member down.
    Down {
        /// Name of the member.
        member: Member,
        /// The incarnation that was declared down.
        incarnation: Incarnation,
        /// The version that was declared down.
        sequence: Sequence,
    },
    /// This balancer was declared down by another one and has refuted it.
    Refuted {
        /// The sequence of the balancer's record that supersedes the declaration.
        sequence: Sequence,
    },
    /// Another process runs under this balancer's name with a later incarnation.
    Superseded {
        /// The other process's incarnation.
        incarnation: Incarnation,
    },
    /// A newer configuration came into force at this balancer.
    Adopted {
        /// Generation of the adopted configuration.
        generation: Generation,
        /// Digest of the adopted configuration.
        digest: Digest,
    },
    /// A configuration named by the store's head or by a peer has an older generation than the one in
    /// force: the store was restored, or the head or the peer's view is stale.
    Stale {
        /// The generation that was not adopted.
        generation: Generation,
    },
    /// Two configurations have the same generation: the store was restored from an older copy.
    Diverged {
        /// The generation that both configurations have.
        generation: Generation,
        /// The digest of the configuration that stays in force.
        kept: Digest,
        /// The digest of the configuration that is rejected.
        rejected: Digest,
    },
    /// A received configuration doesn't match its digest or doesn't parse.
    Corrupt {
        /// Generation of the offer that named the configuration.
        generation: Generation,
        /// Digest that the configuration should have.
        digest: Digest,
    },
    /// A message has contents that no correct process sends.
    Invalid {
        /// Name of the message, as logged.
        message: &'static str,
    },
    /// A service's configuration doesn't fit into an answer to a heartbeat, so its agents keep the
    /// previous one.
    TooLarge {
        /// Name of the service.
        service: Service,
        /// Size of its JSON in bytes.
        bytes: usize,
    },
    /// A call to the store failed.
    Store {
        /// The operation and the key of its object.
        operation: String,
        /// The cause of the failure.
        error: store::Error,
    },
    /// The records of a failure domain were written to the store.
    Written {
        /// The failure domain whose object was written.
        domain: Domain,
        /// Number of records in the object.
        records: usize,
    },
}

impl Output {
    /// Creates an action that sends `body` to the control address `to`.
    pub fn send(to: SocketAddr, body: Body) -> Self {
        Output::Send {
            to,
            message: body.into(),
        }
    }
}

impl Offer {
    pub(crate) fn adopted(self) -> Event {
        Event::Adopted {
            generation: self.generation,
            digest: self.digest,
        }
    }

    pub(crate) fn corrupt(self) -> Event {
        Event::Corrupt {
            generation: self.generation,
            digest: self.digest,
        }
    }
}
