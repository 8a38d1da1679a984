//! Transfer of configurations between balancers.
//!
//! A balancer that is offered a newer configuration fetches it from the balancers that offered it,
//! as a delta against its own or in full, in parts that each fit into a frame.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prost::Message as _;

use crate::catalog::{apply_delta, delta, Catalog, CorruptConfig, Offer, OfferOrder};
use crate::id::Digest;
use crate::output::{Event, Output};
use crate::wire::{control, Body};

/// Maximum size of the data in one part.
pub const PART_BYTES: usize = 1150;
/// Maximum number of parts sent in answer to one request, which is the receive window.
pub const PARTS_MAX: usize = 16;
/// Time after which an unanswered request is sent to the next source.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of an encoded delta. The text is at most 1 MB, and encoding adds little to it.
pub const DELTA_MAX_BYTES: usize = 2 << 20;

/// Maximum number of balancers that one download uses in turn.
const SOURCES_MAX: usize = 8;
/// Requests without progress after which a download is abandoned.
const ATTEMPTS_MAX: u32 = 24;

/// A configuration that is being fetched.
#[derive(Clone, Debug)]
struct Download {
    offer: Offer,
    sources: Vec<SocketAddr>,
    base: Option<Digest>,
    // Invariant: the contiguous data received from offset 0.
    data: Vec<u8>,
    // Parts received beyond a gap, by offset. Invariant: at most PARTS_MAX.
    out_of_order: BTreeMap<usize, Vec<u8>>,
    window_end: usize,
    requested_at: Instant,
    attempts: u32,
}

/// The encoded delta that was requested last, cached because each window requests it again.
#[derive(Clone, Debug)]
struct EncodedDelta {
    target: Digest,
    base: Option<Digest>,
    data: Arc<Vec<u8>>,
}

/// Fetches configurations from other balancers and serves them to others.
#[derive(Clone, Debug, Default)]
pub struct ConfigTransfer {
    download: Option<Download>,
    encoded: Option<EncodedDelta>,
}

impl ConfigTransfer {
    /// Handles an offer of `from`. If it is newer than the configuration in force, starts a download,
    /// or adds `from` to the sources of the running download of the same offer.
    pub fn handle_offer(
        &mut self,
        catalog: &mut Catalog,
        from: SocketAddr,
        offer: Offer,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let mut events = Vec::new();
        let order = catalog.classify_offer(offer, &mut events);
        out.extend(events.into_iter().map(Output::Event));
        if order != OfferOrder::Newer {
            return;
        }
        match &mut self.download {
            Some(download) if download.offer == offer => {
                if download.sources.len() < SOURCES_MAX && !download.sources.contains(&from) {
                    download.sources.push(from);
                }
            }
            Some(download) if download.offer > offer => {}
            _ => {
                let mut download = Download {
                    offer,
                    sources: vec![from],
                    base: catalog.offer().map(|offer| offer.digest),
                    data: Vec::new(),
                    out_of_order: BTreeMap::new(),
                    window_end: 0,
                    requested_at: now,
                    attempts: 0,
                };
                download.send_request(now, out);
                self.download = Some(download);
            }
        }
    }

    /// Answers a request for a configuration that is in force here or recently was.
    pub fn handle_fetch(
        &mut self,
        catalog: &Catalog,
        from: SocketAddr,
        fetch: &control::Fetch,
        out: &mut Vec<Output>,
    ) {
        let Some(offer) = parse_offer(&fetch.offer, "fetch", out) else {
            return;
        };
        let base = Digest::try_from_bytes(&fetch.base);
        let Some(encoded) = self.encoded_delta(catalog, offer, base) else {
            return;
        };
        let total = encoded.data.len();
        let starts = (fetch.offset as usize..total.max(1)).step_by(PART_BYTES);
        for start in starts.take(PARTS_MAX) {
            let end = total.min(start + PART_BYTES);
            let part = control::Part {
                offer: Some(offer.into()),
                base: encoded.base.map(|base| base.0.to_vec()).unwrap_or_default(),
                offset: start as u32,
                total: total as u32,
                data: encoded.data[start..end].to_vec(),
            };
            out.push(Output::send(from, Body::Part(part)));
        }
    }

    /// Handles a part of the configuration that is being fetched. Parts of others are ignored.
    pub fn handle_part(
        &mut self,
        catalog: &mut Catalog,
        part: control::Part,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(offer) = parse_offer(&part.offer, "part", out) else {
            return;
        };
        let total = part.total as usize;
        let Some(download) = self
            .download
            .as_mut()
            .filter(|download| download.offer == offer)
        else {
            return;
        };
        if total > DELTA_MAX_BYTES || part.offset as usize + part.data.len() > total {
            out.push(Output::Event(Event::Invalid { message: "part" }));
            return;
        }
        let base = Digest::try_from_bytes(&part.base);
        if base != download.base {
            // The source doesn't have the base and sends the full configuration.
            if base.is_some() {
                return;
            }
            download.restart(None);
        }
        download.add_part(part.offset as usize, part.data);
        if download.data.len() < total {
            if download.data.len() >= download.window_end {
                download.attempts = 0;
                download.send_request(now, out);
            }
            return;
        }
        self.finish(catalog, now, out);
    }

    /// Repeats an unanswered request, and abandons a download that is obsolete or makes no
    /// progress.
    pub fn tick(&mut self, catalog: &Catalog, now: Instant, out: &mut Vec<Output>) {
        let Some(download) = &mut self.download else {
            return;
        };
        let obsolete = catalog
            .offer()
            .is_some_and(|current| current >= download.offer);
        if obsolete || download.attempts >= ATTEMPTS_MAX {
            self.download = None;
            return;
        }
        if now.duration_since(download.requested_at) >= RETRY_INTERVAL {
            download.sources.rotate_left(1);
            download.send_request(now, out);
        }
    }

    fn finish(&mut self, catalog: &mut Catalog, now: Instant, out: &mut Vec<Output>) {
        let Some(mut download) = self.download.take() else {
            return;
        };
        let result = download.assemble(catalog);
        match result.and_then(|text| catalog.adopt(download.offer, text)) {
            Ok(true) => out.push(Output::Event(download.offer.adopted())),
            Ok(false) => {}
            Err(CorruptConfig) if download.base.is_some() => {
                download.restart(None);
                download.send_request(now, out);
                self.download = Some(download);
            }
            Err(CorruptConfig) => out.push(Output::Event(download.offer.corrupt())),
        }
    }

    fn encoded_delta(
        &mut self,
        catalog: &Catalog,
        offer: Offer,
        base: Option<Digest>,
    ) -> Option<&EncodedDelta> {
        let target = catalog.find(offer.digest)?;
        let known = base.and_then(|base| catalog.find(base));
        let base = known.map(|base| base.offer.digest);
        let hit = self
            .encoded
            .as_ref()
            .is_some_and(|encoded| (encoded.target, encoded.base) == (offer.digest, base));
        if !hit {
            let delta = delta(known.map(|base| &base.config), &target.config);
            self.encoded = Some(EncodedDelta {
                target: offer.digest,
                base,
                data: Arc::new(delta.encode_to_vec()),
            });
        }
        self.encoded.as_ref()
    }
}

impl Download {
    fn send_request(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.requested_at = now;
        self.attempts += 1;
        self.window_end = self.data.len() + PARTS_MAX * PART_BYTES;
        let fetch = control::Fetch {
            offer: Some(self.offer.into()),
            base: self.base.map(|base| base.0.to_vec()).unwrap_or_default(),
            offset: self.data.len() as u32,
        };
        out.push(Output::send(self.sources[0], Body::Fetch(fetch)));
    }

    fn restart(&mut self, base: Option<Digest>) {
        self.base = base;
        self.data.clear();
        self.out_of_order.clear();
        self.window_end = PARTS_MAX * PART_BYTES;
    }

    fn add_part(&mut self, offset: usize, data: Vec<u8>) {
        if offset > self.data.len() {
            if self.out_of_order.len() < PARTS_MAX && offset < self.window_end {
                self.out_of_order.insert(offset, data);
            }
            return;
        }
        if offset == self.data.len() {
            self.data.extend_from_slice(&data);
        }
        while let Some(next) = self.out_of_order.remove(&self.data.len()) {
            self.data.extend_from_slice(&next);
        }
        let reached = self.data.len();
        self.out_of_order.retain(|offset, _| *offset > reached);
    }

    fn assemble(&self, catalog: &Catalog) -> Result<String, CorruptConfig> {
        let delta = control::Delta::decode(self.data.as_slice()).map_err(|_| CorruptConfig)?;
        let base = match self.base {
            Some(digest) => Some(catalog.find(digest).ok_or(CorruptConfig)?),
            None => None,
        };
        let text = apply_delta(base.map(|base| &base.config), &delta)?;
        match Digest::of(text.as_bytes()) == self.offer.digest {
            true => Ok(text),
            false => Err(CorruptConfig),
        }
    }
}

/// Parses an offer, and reports a malformed one as an event.
pub(crate) fn parse_offer(
    offer: &Option<control::Offer>,
    message: &'static str,
    out: &mut Vec<Output>,
) -> Option<Offer> {
    let result = offer.as_ref().map(Offer::try_from)?;
    if result.is_err() {
        out.push(Output::Event(Event::Invalid { message }));
    }
    result.ok()
}
