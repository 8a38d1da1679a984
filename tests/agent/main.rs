//! Properties of several agents under failures, checked in random scenarios in virtual time.
//!
//! `SEED=n cargo test --test agent NAME` repeats a case.

mod collector;
mod driver;
mod properties;
mod traffic;
