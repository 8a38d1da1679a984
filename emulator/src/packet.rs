//! The packets of the emulated clients and servers, a simplified TCP.

use std::net::SocketAddr;

use flamingofall::packet::{Flow, Protocol};
use flamingofall::steering::segment::{Kind, Segment};
use serde::{Deserialize, Serialize};

/// A packet between a client and a server, in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Address of the client, in both directions.
    pub client: SocketAddr,
    /// Address of the service, in both directions.
    pub address: SocketAddr,
    /// Effect of the packet on its flow.
    pub action: Action,
    /// Sequence number of the sender.
    pub sequence: u32,
    /// Acknowledgement number; in an opening packet, the number of earlier copies that the client
    /// has sent.
    pub acknowledgement: u32,
    /// Id of the request that the packet carries or answers, if any.
    pub request: Option<u64>,
}

/// Effect of a packet on its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Opens the flow.
    Open,
    /// Accepts the flow; sent by the server.
    Accept,
    /// Carries a request, an answer or an acknowledgement.
    Data,
    /// Ends the flow after the data before it.
    Finish,
    /// Ends the flow at once.
    Reset,
}

/// Data length that the segment of a packet with a request or an answer states. The encoded packet
/// is shorter.
const DATA_LENGTH_BYTES: u16 = 200;

impl Packet {
    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        // Serialisation to memory doesn't fail for this type.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a packet; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The packet's flow, with the client as its source in both directions.
    pub fn flow(&self) -> Flow {
        Flow {
            protocol: Protocol::Tcp,
            source: self.client,
            destination: self.address,
        }
    }

    /// The header fields that the state machines of balancers and agents use.
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

/// Decodes the header fields that the state machines use; `None` if the packet is malformed.
pub fn decode_segment(bytes: &[u8]) -> Option<Segment> {
    Packet::decode(bytes).map(|packet| packet.segment())
}
