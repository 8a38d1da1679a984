//! State of the lookup of a flow: which agents were asked, and which have answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::segment::same_flow;

/// Number of parts that are kept for their return. A newer part replaces the oldest.
const PARTS_MAX: usize = 8;
/// Number of probes that are kept for their return. With the parts, there are fewer than numbers.
const PROBES_MAX: usize = 240;
/// Answers older than this no longer count: the client may use the port for another flow.
const SEARCH_EXPIRY: Duration = Duration::from_secs(3);

/// Candidates that got a packet one after the other.
#[derive(Debug)]
struct Part {
    number: u8,
    agents: Vec<SocketAddr>,
}

/// What was answered: a packet for several agents, or one for a single agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The agents of a part, one after the other.
    Part,
    /// An agent that was asked beside the parts.
    Probe,
}

/// Which agents have answered that their server doesn't hold a flow. A packet that asks further
/// agents carries only the number of its part, so an agent that returns it can't add to the list.
#[derive(Debug, Default)]
pub struct Search {
    /// When the first part was sent.
    started: Option<Instant>,
    /// The latest parts, in the order in which they were sent.
    parts: VecDeque<Part>,
    /// Agents that got a packet for themselves, with the number of the packet, in the order in which
    /// they were first asked.
    probes: VecDeque<(u8, SocketAddr)>,
    /// When each agent last got a packet for itself.
    probed: BTreeMap<SocketAddr, Instant>,
    /// Acknowledgement number of the client's last packet.
    acknowledged: Option<u32>,
    /// The client's last packet, until an agent reports that its server holds the flow.
    packet: Option<Vec<u8>>,
    /// Number of the next part or probe. It goes on when the search begins again, so that a late return
    /// doesn't match a new part.
    next_number: u8,
    /// Agents that have answered that their servers don't hold the flow.
    denied: BTreeSet<SocketAddr>,
    /// Those of `denied` whose server said so itself. The others went by their records.
    asked: BTreeSet<SocketAddr>,
    /// Whether all agents have answered, and those that went by their records have to ask their
    /// servers.
    verifying: bool,
}

impl Search {
    /// Ends the search, or begins it for another flow of the same client port.
    pub fn clear(&mut self) {
        self.forget_answers();
        self.packet = None;
    }

    /// Ends the search, as the agent is known. The packet is kept if any agent was probed.
    pub fn finish(&mut self) {
        if !self.started() {
            return;
        }
        let packet = self.packet.take().filter(|_| self.probing());
        self.clear();
        self.packet = packet;
    }

    /// Records the acknowledgement number of a client's packet. Begins again, and returns false, if it
    /// is far from the last one: the client uses the port for another flow.
    pub fn follow(&mut self, acknowledgement: u32) -> bool {
        let last = self.acknowledged.replace(acknowledgement);
        let same = last.is_none_or(|last| same_flow(acknowledgement, last));
        if !same {
            self.forget_answers();
        }
        same
    }

    /// Begins again if the first part was sent too long ago.
    pub fn expire(&mut self, now: Instant) {
        let old = |at| now.saturating_duration_since(at) > SEARCH_EXPIRY;
        if self.started.is_some_and(old) {
            self.forget_answers();
        }
    }

    /// Asks all agents again: an answer may have come too early or be that of another flow.
    fn forget_answers(&mut self) {
        self.started = None;
        self.parts.clear();
        self.probes.clear();
        self.probed.clear();
        self.denied.clear();
        self.asked.clear();
        self.verifying = false;
    }

    /// Makes agents ask their servers from now on, whatever their records say.
    pub fn verify(&mut self, now: Instant) {
        self.verifying = true;
        self.started = Some(now);
        self.probes.clear();
        self.probed.clear();
    }

    /// Whether agents have to ask their servers.
    pub fn verifying(&self) -> bool {
        self.verifying
    }

    /// Whether any agent was asked.
    pub fn started(&self) -> bool {
        self.started.is_some()
    }

    /// Takes the client's last packet out.
    pub fn take_packet(&mut self) -> Option<Vec<u8>> {
        self.packet.take()
    }

    /// Keeps the client's last packet, which is sent again while the search goes on.
    pub fn keep_packet(&mut self, packet: Vec<u8>) {
        self.packet = Some(packet);
    }

    /// The client's last packet, unless the search has ended.
    pub fn packet(&self) -> Option<&Vec<u8>> {
        self.packet.as_ref()
    }

    /// Records that `agents` get a packet. Returns the number of the part; all packets for the same
    /// agents are one part.
    pub fn send(&mut self, agents: &[SocketAddr], now: Instant) -> u8 {
        self.started.get_or_insert(now);
        if let Some(part) = self.parts.iter().find(|part| part.agents == agents) {
            return part.number;
        }
        let number = self.take_number();
        if self.parts.len() == PARTS_MAX {
            self.parts.pop_front();
        }
        self.parts.push_back(Part {
            number,
            agents: agents.to_vec(),
        });
        number
    }

    /// Records that an agent gets a packet for itself. Returns the number of the packet.
    pub fn probe(&mut self, agent: SocketAddr, now: Instant) -> u8 {
        self.started.get_or_insert(now);
        self.probed.insert(agent, now);
        if let Some((number, _)) = self.probes.iter().find(|(_, probed)| *probed == agent) {
            return *number;
        }
        let number = self.take_number();
        if self.probes.len() == PROBES_MAX {
            self.probes.pop_front();
        }
        self.probes.push_back((number, agent));
        number
    }

    /// When the agent last got a packet for itself.
    pub fn probed_at(&self, agent: &SocketAddr) -> Option<Instant> {
        self.probed.get(agent).copied()
    }

    /// When an agent last got a packet for itself.
    pub fn last_probed(&self) -> Option<Instant> {
        self.probed.values().max().copied()
    }

    /// Whether any agent has got a packet for itself.
    pub fn probing(&self) -> bool {
        !self.probes.is_empty()
    }

    /// Takes the next number that no part or probe has.
    fn take_number(&mut self) -> u8 {
        loop {
            let number = self.next_number;
            self.next_number = number.wrapping_add(1);
            let part = self.parts.iter().any(|part| part.number == number);
            if !part && !self.probes.iter().any(|(probe, _)| *probe == number) {
                return number;
            }
        }
    }

    /// Records that all agents of a part or a probe have passed the packet on; `asked` tells whether
    /// each of them has asked its server. Returns which of them has the number, if it is known.
    pub fn exhaust(&mut self, number: u8, asked: bool) -> Option<Answer> {
        let part = self.parts.iter().find(|part| part.number == number);
        let (agents, answer) = match part {
            Some(part) => (part.agents.clone(), Answer::Part),
            None => {
                let (_, agent) = self.probes.iter().find(|(probe, _)| *probe == number)?;
                (vec![*agent], Answer::Probe)
            }
        };
        if asked {
            self.asked.extend(&agents);
        }
        self.denied.extend(agents);
        Some(answer)
    }

    /// Number of agents whose servers have said that they don't hold the flow.
    pub fn answers(&self) -> usize {
        self.asked.len()
    }

    /// Whether the agent's answer is still needed.
    pub fn awaits(&self, agent: &SocketAddr) -> bool {
        match self.verifying {
            true => !self.asked.contains(agent),
            false => !self.denied.contains(agent),
        }
    }

    /// Whether the agent has answered, but not asked its server.
    pub fn unverified(&self, agent: &SocketAddr) -> bool {
        self.denied.contains(agent) && !self.asked.contains(agent)
    }
}
