//! The header fields of a packet that the balancer and the agent use. They don't read its bytes.

use crate::packet::Flow;

/// The decoded header of a packet, as far as forwarding depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow. The client is its source in both directions.
    pub flow: Flow,
    /// Effect of the packet on its flow.
    pub kind: Kind,
    /// Sequence number of the packet.
    pub sequence: u32,
    /// Acknowledgement number; in an opening packet, the number of earlier copies that the client
    /// has sent.
    pub acknowledgement: u32,
    /// Length of the data in bytes.
    pub length: u16,
}

/// Acknowledgement numbers of one flow differ by less within some seconds: a server has at most 16
/// packets on their way.
const SAME_FLOW_DISTANCE: u32 = 1 << 20;

/// Whether two acknowledgement numbers are of the same flow of a client port, or of flows that used the
/// port one after the other.
pub fn same_flow(first: u32, second: u32) -> bool {
    (first.wrapping_sub(second) as i32).unsigned_abs() < SAME_FLOW_DISTANCE
}

/// Effect of a packet on its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Opens the flow.
    Open,
    /// Accepts the flow; sent by the server.
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
