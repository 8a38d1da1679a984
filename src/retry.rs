//! Retry policy for clients of a service: which requests to repeat, when, and when to give up.
//!
//! Only a request that was refused as not run is sent again. If the outcome is unknown, the client
//! queries the same server over the same flow by request id, because a second attempt could run the
//! request twice.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use flamingofall::retry::{Client, Outcome, Step};
//!
//! let now = Instant::now();
//! let mut client = Client::new(7);
//! let mut request = client.begin(now + Duration::from_secs(5));
//! assert!(matches!(client.next(&mut request, Outcome::NotRun, now), Step::Send { .. }));
//! assert_eq!(client.next(&mut request, Outcome::Answered, now), Step::Done);
//! ```

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::Display;

/// Requests after which the budget allows one more retry.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Retries in a full budget, which is also the initial budget of a client.
pub const RETRY_BUDGET_MAX: u32 = 10;
/// Longest delay before the first retry; the shortest is half of it.
pub const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Longest delay before any retry or query.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Token bucket that limits the retries of a client. Without it, retries multiply the load of a
/// service that refuses requests because it is overloaded.
#[derive(Clone, Debug)]
pub struct Budget {
    /// A request adds one token, and a retry takes [`REQUESTS_PER_RETRY`]. Invariant: at most
    /// [`RETRY_BUDGET_MAX`] retries' worth.
    tokens: u32,
}

impl Budget {
    fn full() -> Self {
        Self {
            tokens: RETRY_BUDGET_MAX * REQUESTS_PER_RETRY,
        }
    }

    fn deposit(&mut self) {
        self.tokens = (self.tokens + 1).min(RETRY_BUDGET_MAX * REQUESTS_PER_RETRY);
    }

    fn withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(REQUESTS_PER_RETRY) {
            Some(left) => {
                self.tokens = left;
                true
            }
            None => false,
        }
    }
}

/// How an attempt or a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The server answered the request.
    Answered,
    /// The request was refused, by an agent or by the server, and has not run.
    NotRun,
    /// No answer arrived or the connection failed, so the request may have run.
    Unknown,
}

/// Why a client gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The request has not run, and the budget has no retry left.
    #[strum(to_string = "budget")]
    BudgetExhausted,
    /// The request has not run, and the next retry would be after the deadline.
    Deadline,
    /// The outcome is unknown, and the next query would be after the deadline.
    OutcomeUnknown,
}

/// What a client has to do next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request on a new flow.
    Send {
        /// Time at which to send it.
        at: Instant,
    },
    /// Ask for the outcome by request id, over the same flow.
    Query {
        /// Time at which to ask.
        at: Instant,
    },
    /// Nothing: the request was answered.
    Done,
    /// Report a failure to the caller.
    Fail(Failure),
}

/// The retry state of one request.
#[derive(Clone, Debug)]
pub struct Request {
    deadline: Instant,
    retries: u32,
    /// Whether the request may have run. Never reset: a later refusal can come from a server that
    /// has not seen the request.
    may_have_run: bool,
}

/// The retry state that the requests of one client share.
#[derive(Clone, Debug)]
pub struct Client {
    budget: Budget,
    rng: SmallRng,
}

impl Client {
    /// Creates a client with a full budget. The seed determines the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            budget: Budget::full(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Starts a request, whose first attempt is sent at once.
    pub fn begin(&mut self, deadline: Instant) -> Request {
        self.budget.deposit();
        Request {
            deadline,
            retries: 0,
            may_have_run: false,
        }
    }

    /// Decides what follows the outcome of an attempt or a query.
    pub fn next(&mut self, request: &mut Request, outcome: Outcome, now: Instant) -> Step {
        if outcome == Outcome::Answered {
            return Step::Done;
        }
        request.may_have_run |= outcome == Outcome::Unknown;
        let at = now + self.backoff_delay(request.retries);
        request.retries += 1;
        match request.may_have_run {
            true if at >= request.deadline => Step::Fail(Failure::OutcomeUnknown),
            true => Step::Query { at },
            false if at >= request.deadline => Step::Fail(Failure::Deadline),
            false if !self.budget.withdraw() => Step::Fail(Failure::BudgetExhausted),
            false => Step::Send { at },
        }
    }

    /// Exponential backoff with jitter between half of the full delay and all of it, so that
    /// clients that were refused at the same time don't retry at the same time.
    fn backoff_delay(&mut self, retries: u32) -> Duration {
        let full = BACKOFF_BASE.saturating_mul(1 << retries.min(16));
        let full = full.min(BACKOFF_MAX).as_micros() as u64;
        Duration::from_micros(self.rng.random_range(full / 2..=full))
    }
}
