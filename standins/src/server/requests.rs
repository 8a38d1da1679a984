//! Request table of a backend server: slots, queue, deadlines and results.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::protocol::{Request, Status};

/// Maximum numbers of requests that run and that wait for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) slots: usize,
    pub(super) queue: usize,
}

/// Result of a request for one of the origins that sent it.
#[derive(Debug)]
pub(super) struct Outcome<O> {
    pub(super) origin: O,
    pub(super) id: String,
    pub(super) status: Status,
    pub(super) bytes: u64,
}

enum State {
    Queued,
    Running {
        ends_at: Instant,
    },
    Finished(Status),
    /// Refused; only a higher attempt than this one can run.
    Shed {
        attempt: u32,
    },
}

struct Entry<O> {
    request: Request,
    deadline: Option<Instant>,
    state: State,
    /// Where the answers go. A repetition of a request that has not ended adds its origin.
    origins: Vec<O>,
}

/// Table of requests by id. Entries are never removed, so that a repeated id gets the first result
/// and does not run again.
pub(super) struct Requests<O> {
    limits: Limits,
    entries: HashMap<String, Entry<O>>,
    queue: VecDeque<String>,
    /// Deadlines and ends of work, earliest first. Entries of requests that have ended stay until
    /// they are due and are then ignored.
    timers: BinaryHeap<Reverse<(Instant, String)>>,
    running: usize,
    /// Ids of requests that ended with an effect since the last call of `take_effects`.
    effects: Vec<String>,
}

impl<O: Clone + PartialEq> Requests<O> {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            queue: VecDeque::new(),
            timers: BinaryHeap::new(),
            running: 0,
            effects: Vec::new(),
        }
    }

    /// Number of requests that occupy a slot.
    pub(super) fn running(&self) -> usize {
        self.running
    }

    /// Number of requests that run or wait for a slot.
    pub(super) fn unfinished(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Takes the ids of the requests that ended with an effect since the last call.
    pub(super) fn take_effects(&mut self) -> Vec<String> {
        std::mem::take(&mut self.effects)
    }

    /// Time at which [`Requests::run_timers`] has to be called next.
    pub(super) fn next_timer_at(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Handles a request or its cancellation and appends the results that are known at once to
    /// `outcomes`. `slowness` is the factor on the run time of requests that start in this call.
    pub(super) fn submit(
        &mut self,
        request: Request,
        origin: O,
        slowness: f64,
        now: Instant,
        outcomes: &mut Vec<Outcome<O>>,
    ) {
        if request.cancel {
            return self.cancel(request, origin, now, slowness, outcomes);
        }
        match self.entries.get_mut(&request.id) {
            None => {}
            Some(entry) => match entry.state {
                State::Finished(status) => {
                    outcomes.push(outcome(&entry.request, origin, status));
                    return;
                }
                State::Shed { attempt } if request.attempt <= attempt => {
                    outcomes.push(outcome(&entry.request, origin, Status::Shed));
                    return;
                }
                State::Shed { .. } => {}
                State::Queued | State::Running { .. } => {
                    if !entry.origins.contains(&origin) {
                        entry.origins.push(origin);
                    }
                    return;
                }
            },
        }
        self.admit(request, origin, slowness, now, outcomes);
    }

    /// Runs or queues a request, or sheds it if the queue is full.
    fn admit(
        &mut self,
        request: Request,
        origin: O,
        slowness: f64,
        now: Instant,
        outcomes: &mut Vec<Outcome<O>>,
    ) {
        let id = request.id.clone();
        let free = self.running < self.limits.slots;
        if !free && self.queue.len() >= self.limits.queue {
            outcomes.push(outcome(&request, origin, Status::Shed));
            let state = State::Shed {
                attempt: request.attempt,
            };
            self.entries
                .insert(id, new_entry(request, None, state, vec![]));
            return;
        }
        let deadline = match request.deadline_ms {
            0 => None,
            ms => Some(now + Duration::from_millis(ms)),
        };
        if let Some(deadline) = deadline {
            self.timers.push(Reverse((deadline, id.clone())));
        }
        self.queue.push_back(id.clone());
        self.entries.insert(
            id,
            new_entry(request, deadline, State::Queued, vec![origin]),
        );
        self.start_queued(slowness, now);
    }

    /// Cancels a request that has not finished. A finished one keeps its result.
    fn cancel(
        &mut self,
        request: Request,
        origin: O,
        now: Instant,
        slowness: f64,
        outcomes: &mut Vec<Outcome<O>>,
    ) {
        let Some(entry) = self.entries.get_mut(&request.id) else {
            // The cancellation may overtake its request, which must not run when it arrives.
            outcomes.push(outcome(&request, origin, Status::Cancelled));
            let state = State::Finished(Status::Cancelled);
            let id = request.id.clone();
            self.entries
                .insert(id, new_entry(request, None, state, vec![]));
            return;
        };
        match entry.state {
            State::Finished(status) => outcomes.push(outcome(&entry.request, origin, status)),
            State::Shed { .. } => {
                entry.state = State::Finished(Status::Cancelled);
                outcomes.push(outcome(&entry.request, origin, Status::Cancelled));
            }
            State::Queued | State::Running { .. } => {
                if !entry.origins.contains(&origin) {
                    entry.origins.push(origin);
                }
                self.finish(&request.id, Status::Cancelled, outcomes);
                self.start_queued(slowness, now);
            }
        }
    }

    /// Finishes the requests whose work has ended or whose deadline has passed, and starts queued
    /// ones in the slots that become free.
    pub(super) fn run_timers(
        &mut self,
        slowness: f64,
        now: Instant,
        outcomes: &mut Vec<Outcome<O>>,
    ) {
        while let Some(Reverse((at, _))) = self.timers.peek() {
            if *at > now {
                return;
            }
            let Some(Reverse((_, id))) = self.timers.pop() else {
                return;
            };
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let expired = entry.deadline.is_some_and(|deadline| deadline <= now);
            match entry.state {
                State::Running { ends_at }
                    if ends_at <= now && !ends_after_deadline(entry, ends_at) =>
                {
                    self.finish(&id, Status::Done, outcomes);
                }
                State::Running { .. } | State::Queued if expired => {
                    self.finish(&id, Status::Expired, outcomes);
                }
                _ => continue,
            }
            self.start_queued(slowness, now);
        }
    }

    /// Starts queued requests in the order of their arrival while slots are free.
    fn start_queued(&mut self, slowness: f64, now: Instant) {
        while self.running < self.limits.slots {
            let Some(id) = self.queue.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let work = Duration::from_millis(entry.request.work_ms).mul_f64(slowness);
            let ends_at = now + work;
            entry.state = State::Running { ends_at };
            self.running += 1;
            self.timers.push(Reverse((ends_at, id)));
        }
    }

    /// Ends a running or queued request and appends one outcome for each origin.
    fn finish(&mut self, id: &str, status: Status, outcomes: &mut Vec<Outcome<O>>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        match entry.state {
            State::Running { .. } => self.running -= 1,
            _ => self.queue.retain(|queued| queued != id),
        }
        entry.state = State::Finished(status);
        if status == Status::Done && entry.request.kind.has_effect() {
            self.effects.push(id.to_owned());
        }
        for origin in std::mem::take(&mut entry.origins) {
            outcomes.push(outcome(&entry.request, origin, status));
        }
    }
}

/// Whether the deadline of a request is before `ends_at`, the end of its work.
fn ends_after_deadline<O>(entry: &Entry<O>, ends_at: Instant) -> bool {
    entry.deadline.is_some_and(|deadline| deadline < ends_at)
}

fn new_entry<O>(
    request: Request,
    deadline: Option<Instant>,
    state: State,
    origins: Vec<O>,
) -> Entry<O> {
    Entry {
        request,
        deadline,
        state,
        origins,
    }
}

fn outcome<O>(request: &Request, origin: O, status: Status) -> Outcome<O> {
    Outcome {
        origin,
        id: request.id.clone(),
        status,
        bytes: match status {
            Status::Done => request.size,
            _ => 0,
        },
    }
}
