//! What the cores know of a packet; its bytes stay opaque.

use crate::packet::Flow;

/// The part of a packet's header that forwarding depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow, seen from the client in both directions.
    pub flow: Flow,
    /// What the packet does to the flow.
    pub kind: Kind,
    /// Sequence number of the sender.
    pub sequence: u32,
    /// Acknowledgement number. On an opening packet, the number of copies sent before.
    pub acknowledgement: u32,
    /// Bytes of data carried.
    pub length: u16,
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Opens the flow.
    Open,
    /// The server's acceptance of an opening packet.
    Accept,
    /// Carries data or an acknowledgement.
    Data,
    /// Ends the sender's direction.
    Finish,
    /// Ends the flow at once.
    Reset,
}

impl Segment {
    /// Whether the packet ends its sender's direction or the whole flow.
    pub fn ends(&self) -> bool {
        matches!(self.kind, Kind::Finish | Kind::Reset)
    }

    /// Whether the packet opens a flow.
    pub fn opens(&self) -> bool {
        self.kind == Kind::Open
    }
}
