//! The packets of PROTOCOL.md, "Packets".

pub const SYN: u8 = 1;
pub const RST: u8 = 2;
pub const FIN: u8 = 8;
pub const ACK: u8 = 32;
pub const BOUNCED: u8 = 128;
pub const HEAD: usize = 34;

/// An end of a flow: IPv4 address as a number, and port.
pub type End = (u32, u16);

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: End,
    pub dst: End,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

pub fn ip(text: &str) -> u32 {
    u32::from(text.parse::<std::net::Ipv4Addr>().expect("an IPv4 address"))
}

pub fn show(end: End) -> String {
    format!("{}:{}", std::net::Ipv4Addr::from(end.0), end.1)
}

/// Keyed sum over all fields but `echo`, `pad` and BOUNCED. The programs under test don't know it.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ 0x5eed_1234_abcd_0042;
    let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    for (at, byte) in bytes.iter().enumerate() {
        match at {
            2..=9 | 31..=33 => {}
            30 => add(byte & !BOUNCED),
            _ => add(*byte),
        }
    }
    ((hash ^ (hash >> 32)) as u32).max(1)
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut b = vec![0; HEAD];
        b[0..2].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        b[10..14].copy_from_slice(&self.seq.to_le_bytes());
        b[14..18].copy_from_slice(&self.ack.to_le_bytes());
        b[18..20].copy_from_slice(&self.dst.1.to_le_bytes());
        b[20..24].copy_from_slice(&self.src.0.to_le_bytes());
        b[24..26].copy_from_slice(&self.src.1.to_le_bytes());
        b[26..30].copy_from_slice(&self.dst.0.to_le_bytes());
        b[30] = self.flags;
        b.extend_from_slice(&self.data);
        let s = sum(&b);
        b[2..6].copy_from_slice(&s.to_le_bytes());
        b
    }

    /// The packet and whether its sum is right. None if it isn't well formed.
    pub fn decode(b: &[u8]) -> Option<(Packet, bool)> {
        if b.len() < HEAD || b.len() != HEAD + usize::from(u16::from_le_bytes([b[0], b[1]])) {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([b[at], b[at + 1]]);
        let u32_at = |at: usize| u32::from_le_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        let packet = Packet {
            src: (u32_at(20), u16_at(24)),
            dst: (u32_at(26), u16_at(18)),
            flags: b[30],
            seq: u32_at(10),
            ack: u32_at(14),
            data: b[HEAD..].to_vec(),
        };
        let genuine = u32_at(2) == sum(b);
        Some((packet, genuine))
    }
}

/// What a server sends back to `outbound` if it doesn't take a packet: BOUNCED set, `echo`
/// unchanged, `pad` 0.
pub fn bounce(bytes: &[u8]) -> Vec<u8> {
    let mut b = bytes.to_vec();
    b[30] |= BOUNCED;
    b[31..34].fill(0);
    b
}
