//! The configuration that a process has in force, and the deltas between configurations.
//!
//! The pair (generation, digest) in force never decreases, in whatever order offers arrive and
//! whatever the store returns.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use strum::Display;

use crate::config::{Config, Service};
use crate::id::{Digest, Generation, Service as Name};
use crate::output::Event;
use crate::wire::control;

/// Number of earlier configurations that are kept as bases of deltas. At the target size, the text
/// of each takes 850 KB.
const HISTORY_MAX: usize = 2;

/// Identifies an accepted configuration. The greater of two offers takes precedence: the one of the
/// higher generation, or of the higher digest within one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Digest of the canonical JSON.
    pub digest: Digest,
}

impl From<Offer> for control::Offer {
    fn from(offer: Offer) -> Self {
        Self {
            generation: offer.generation.0,
            digest: offer.digest.0.to_vec(),
        }
    }
}

impl TryFrom<&control::Offer> for Offer {
    type Error = std::array::TryFromSliceError;

    fn try_from(offer: &control::Offer) -> Result<Self, Self::Error> {
        Ok(Self {
            generation: Generation(offer.generation),
            digest: Digest(offer.digest.as_slice().try_into()?),
        })
    }
}

/// An accepted configuration with its offer and text.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedConfig {
    /// Generation and digest that identify the configuration.
    pub offer: Offer,
    /// The canonical JSON. Invariant: `offer.digest` is its digest.
    pub text: String,
    /// The configuration that was parsed from `text`.
    pub config: Config,
}

/// Order of an offer relative to the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum OfferOrder {
    /// Takes precedence over the configuration in force, or there is none; to be adopted.
    Newer,
    /// Identifies the configuration in force.
    Current,
    /// The configuration in force takes precedence.
    Older,
}

/// A text that doesn't match the digest of its offer, or a text or delta that can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CorruptConfig;

impl fmt::Display for CorruptConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the text does not match its digest or is not a valid configuration")
    }
}

impl std::error::Error for CorruptConfig {}

/// The configuration in force and the ones before it.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    current: Option<Arc<AcceptedConfig>>,
    history: VecDeque<Arc<AcceptedConfig>>,
    last_reported: Option<Offer>,
}

impl Catalog {
    /// The configuration in force.
    pub fn current(&self) -> Option<&Arc<AcceptedConfig>> {
        self.current.as_ref()
    }

    /// Offer of the configuration in force.
    pub fn offer(&self) -> Option<Offer> {
        self.current.as_ref().map(|current| current.offer)
    }

    /// Generation in force; 0 before the first configuration.
    pub fn generation(&self) -> Generation {
        self.offer()
            .map(|offer| offer.generation)
            .unwrap_or_default()
    }

    /// A service of the configuration in force, as its agents receive it.
    pub fn service(&self, name: &Name) -> Option<Service> {
        self.current.as_ref()?.config.effective_service(name)
    }

    /// The configuration with this digest, if it is in force or among the earlier ones that are
    /// kept.
    pub fn find(&self, digest: Digest) -> Option<&Arc<AcceptedConfig>> {
        let known = self.current.iter().chain(&self.history);
        known.into_iter().find(|known| known.offer.digest == digest)
    }

    /// Orders an offer relative to the configuration in force.
    ///
    /// An offer of an older generation, or of the same generation with another digest, is due to a
    /// restored store or a stale answer. It is reported as an event, but not twice in succession.
    pub fn classify_offer(&mut self, offer: Offer, events: &mut Vec<Event>) -> OfferOrder {
        let Some(current) = self.offer() else {
            return OfferOrder::Newer;
        };
        if offer == current {
            return OfferOrder::Current;
        }
        let diverged = offer.generation == current.generation;
        if (diverged || offer < current) && self.last_reported != Some(offer) {
            self.last_reported = Some(offer);
            events.push(match diverged {
                true => Event::Diverged {
                    generation: offer.generation,
                    kept: offer.digest.max(current.digest),
                    rejected: offer.digest.min(current.digest),
                },
                false => Event::Stale {
                    generation: offer.generation,
                },
            });
        }
        match offer > current {
            true => OfferOrder::Newer,
            false => OfferOrder::Older,
        }
    }

    /// Puts a configuration into force, unless the one in force is the same or takes precedence.
    /// Returns whether it did.
    pub fn adopt(&mut self, offer: Offer, text: String) -> Result<bool, CorruptConfig> {
        if self.offer().is_some_and(|current| current >= offer) {
            return Ok(false);
        }
        if Digest::of(text.as_bytes()) != offer.digest {
            return Err(CorruptConfig);
        }
        let config = Config::from_canonical_json(text.as_bytes()).map_err(|_| CorruptConfig)?;
        if let Some(current) = self.current.take() {
            self.history.push_front(current);
            self.history.truncate(HISTORY_MAX);
        }
        self.current = Some(Arc::new(AcceptedConfig {
            offer,
            text,
            config,
        }));
        Ok(true)
    }
}

/// The delta that turns `base` into `target`. Without a base it contains all of `target`.
pub fn delta(base: Option<&Config>, target: &Config) -> control::Delta {
    let unchanged = |name: &Name, service: &Service| {
        base.and_then(|base| base.services.get(name)) == Some(service)
    };
    let changed = target
        .services
        .iter()
        .filter(|(name, service)| !unchanged(name, service))
        .map(|(_, service)| serde_json::to_vec(service).expect("a service has only string keys"))
        .collect();
    let removed = base
        .into_iter()
        .flat_map(|base| base.services.keys())
        .filter(|name| !target.services.contains_key(*name))
        .map(Name::to_string)
        .collect();
    let same_rest = base.is_some_and(|base| without_services(base) == without_services(target));
    control::Delta {
        changed,
        removed,
        rest: match same_rest {
            true => Vec::new(),
            false => without_services(target).canonical_json(),
        },
    }
}

/// Applies a delta to its base. Returns the canonical JSON of the result.
pub fn apply_delta(base: Option<&Config>, delta: &control::Delta) -> Result<String, CorruptConfig> {
    let mut config = base.cloned().unwrap_or_default();
    if !delta.rest.is_empty() {
        let rest: Config = serde_json::from_slice(&delta.rest).map_err(|_| CorruptConfig)?;
        let services = std::mem::take(&mut config.services);
        config = Config { services, ..rest };
    }
    for name in &delta.removed {
        let name: Name = name.parse().map_err(|_| CorruptConfig)?;
        config.services.remove(&name);
    }
    for service in &delta.changed {
        let service: Service = serde_json::from_slice(service).map_err(|_| CorruptConfig)?;
        config.services.insert(service.name.clone(), service);
    }
    String::from_utf8(config.canonical_json()).map_err(|_| CorruptConfig)
}

/// A configuration without its services.
fn without_services(config: &Config) -> Config {
    Config {
        services: BTreeMap::new(),
        drains: config.drains.clone(),
        commanded_drains: config.commanded_drains.clone(),
        former: config.former.clone(),
    }
}
