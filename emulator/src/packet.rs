//! The emulator's packets.

use std::net::SocketAddr;

use flamingofall::packet::{Flow, Protocol};
use flamingofall::steering::segment::{Kind, Segment};
use serde::{Deserialize, Serialize};

/// A packet of a flow, in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The client's end.
    pub client: SocketAddr,
    /// The address of the service.
    pub address: SocketAddr,
    /// What it does.
    pub action: Action,
    /// Sender's sequence number.
    pub sequence: u32,
    /// Acknowledgement, or the number of copies of an opening packet.
    pub acknowledgement: u32,
    /// Request or answer carried, if any.
    pub request: Option<u64>,
}

/// What a packet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Opens the flow.
    Open,
    /// Accepts it.
    Accept,
    /// Carries a request, an answer or an acknowledgement.
    Data,
    /// Ends it.
    Finish,
    /// Ends it at once.
    Reset,
}

/// Length that a packet with a request or an answer pretends to have.
const DATA_LENGTH_BYTES: u16 = 200;

impl Packet {
    /// The packet as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising to memory can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a packet.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The flow, seen from the client.
    pub fn flow(&self) -> Flow {
        Flow {
            protocol: Protocol::Tcp,
            source: self.client,
            destination: self.address,
        }
    }

    /// What the cores see.
    pub fn segment(&self) -> Segment {
        Segment {
            flow: self.flow(),
            kind: match self.action {
                Action::Open => Kind::Open,
                Action::Accept => Kind::Accept,
                Action::Data => Kind::Data,
                Action::Finish => Kind::Finish,
                Action::Reset => Kind::Reset,
            },
            sequence: self.sequence,
            acknowledgement: self.acknowledgement,
            length: if self.request.is_some() {
                DATA_LENGTH_BYTES
            } else {
                0
            },
        }
    }
}

/// Reads the part of a packet that the cores see.
pub fn decode_segment(bytes: &[u8]) -> Option<Segment> {
    Packet::decode(bytes).map(|packet| packet.segment())
}
