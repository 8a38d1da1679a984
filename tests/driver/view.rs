//! Access to the state of the simulated processes, and the configurations that an operator applies.

use std::net::SocketAddr;
use std::time::Duration;

use flamingofall::catalog::Offer;
use flamingofall::config::Config;
use flamingofall::control::Control;
use flamingofall::id::{Digest, Generation, Member};
use flamingofall::member::State;

use super::agent::SimulatedAgent;
use super::{domain_number, Driver, Process, ScheduledEvent};

impl Driver {
    /// Returns the control plane of a balancer.
    pub fn control(&self, address: SocketAddr) -> &Control {
        match &self.processes[&address].1 {
            Process::Balancer(control) => control,
            Process::Agent(_) => panic!("{address} is an agent"),
        }
    }

    pub fn agent(&mut self, address: SocketAddr) -> &mut SimulatedAgent {
        match &mut self.processes.get_mut(&address).unwrap().1 {
            Process::Agent(agent) => agent,
            Process::Balancer(_) => panic!("{address} is a balancer"),
        }
    }

    /// Returns the control addresses of all running balancers.
    pub fn balancers(&self) -> Vec<SocketAddr> {
        let balancer = |p: &Process| matches!(p, Process::Balancer(_));
        let all = self.processes.iter();
        all.filter(|(_, (_, p))| balancer(p))
            .map(|(a, _)| *a)
            .collect()
    }

    /// Returns the state of a member in the view of each balancer that is neither paused nor in a
    /// partitioned domain, or `None` where the member is unknown.
    pub fn member_states(&self, member: &Member) -> Vec<Option<State>> {
        let live = self.balancers().into_iter();
        live.filter(|a| {
            !self.paused.contains(a) && !self.partitioned_domains.contains(&domain_number(*a))
        })
        .map(|a| {
            self.control(a)
                .view()
                .table
                .get(member)
                .map(|e| e.record.state)
        })
        .collect()
    }

    /// Runs until all states that [`Self::member_states`] returns are `state`. Returns the virtual
    /// time that this took, or `Duration::MAX` if it took longer than 60 s.
    pub fn run_until_state(&mut self, member: &Member, state: State) -> Duration {
        let done = |d: &Self| {
            d.member_states(member)
                .iter()
                .all(|known| *known == Some(state))
        };
        self.run_until(Duration::from_secs(60), done)
            .unwrap_or(Duration::MAX)
    }

    /// Whether the views of all balancers contain the same records, apart from those of down
    /// members.
    pub fn views_agree(&self) -> bool {
        let hash = |address: SocketAddr| self.control(address).view().table.hash();
        let balancers = self.balancers();
        balancers
            .iter()
            .all(|address| hash(*address) == hash(balancers[0]))
    }

    /// Records the offer that a balancer has in force, and a regression if a higher one was in
    /// force before.
    pub fn record_offer(&mut self, address: SocketAddr) {
        let Some((incarnation, Process::Balancer(control))) = self.processes.get(&address) else {
            return;
        };
        let Some(offer) = control.view().catalog.offer() else {
            return;
        };
        let highest = self
            .highest_offers
            .entry((address, *incarnation))
            .or_insert(offer);
        if offer < *highest {
            self.regressions
                .push(format!("{address}: {offer:?} after {highest:?}"));
        }
        *highest = offer.max(*highest);
    }

    /// Writes a configuration and its head to the store, as the command `apply` does, with the
    /// given generation.
    pub fn apply(&mut self, config: &Config, generation: u64) -> Offer {
        let text = String::from_utf8(config.canonical_json()).unwrap();
        let offer = Offer {
            generation: Generation(generation),
            digest: Digest::of(text.as_bytes()),
        };
        let answers = self.store.apply_config(offer, text);
        for (to, answer) in answers {
            let delay = self.random_delay();
            self.schedule(delay, ScheduledEvent::StoreAnswer(to, answer));
        }
        offer
    }
}
