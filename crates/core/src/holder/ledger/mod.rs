//! Accounts for each admitted request from admission to outcome.
//!
//! The identity accepted = answered + refused + unknown + abandoned + in flight is asserted at each
//! change. It is kept by construction: an [`AdmittedRequest`] ends exactly once, when its outcome is recorded
//! or when it is dropped because the caller went away.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::outcome::Outcome;
use crate::request;

/// Shards of the set of ids in flight.
const SHARDS: usize = 16;

/// Counts of requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// Admitted requests.
    pub accepted: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose caller went away.
    pub abandoned: u64,
    /// Requests without an outcome.
    pub in_flight: u64,
}

impl Totals {
    /// Whether each admitted request is counted under exactly one outcome.
    pub fn balanced(&self) -> bool {
        let ended = self.answered + self.refused + self.unknown + self.abandoned;
        self.accepted == ended + self.in_flight
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Totals) {
        self.accepted += other.accepted;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.abandoned += other.abandoned;
        self.in_flight += other.in_flight;
    }
}

/// Requests in flight and outcome counters.
#[derive(Debug)]
pub struct Ledger {
    ids: Vec<Mutex<HashSet<request::Id>>>,
    totals: Mutex<HashMap<name::Service, Totals>>,
}

impl Default for Ledger {
    fn default() -> Self {
        let shard = || Mutex::new(Rank::Ledger, HashSet::new());
        Self {
            ids: std::iter::repeat_with(shard).take(SHARDS).collect(),
            totals: Mutex::new(Rank::Ledger, HashMap::new()),
        }
    }
}

impl Ledger {
    /// Admits a request. `None` if a request with the same id is in flight.
    pub fn admit(
        self: &Arc<Self>,
        service: &name::Service,
        id: &request::Id,
    ) -> Option<AdmittedRequest> {
        if !self.shard(id).lock().insert(id.clone()) {
            return None;
        }
        self.change(service, |totals| {
            totals.accepted += 1;
            totals.in_flight += 1;
        });
        Some(AdmittedRequest {
            ledger: self.clone(),
            service: service.clone(),
            id: id.clone(),
            ended: false,
        })
    }

    /// Counts of one service.
    pub fn totals(&self, service: &str) -> Totals {
        self.totals.lock().get(service).copied().unwrap_or_default()
    }

    /// Counts of all services together.
    pub fn sum(&self) -> Totals {
        let mut sum = Totals::default();
        self.totals.lock().values().for_each(|totals| sum.add(totals));
        sum
    }

    fn shard(&self, id: &request::Id) -> &Mutex<HashSet<request::Id>> {
        let hash = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
        &self.ids[hash as usize % SHARDS]
    }

    fn change(&self, service: &name::Service, change: impl FnOnce(&mut Totals)) {
        let mut totals = self.totals.lock();
        if !totals.contains_key(service.as_str()) {
            totals.insert(service.clone(), Totals::default());
        }
        if let Some(totals) = totals.get_mut(service.as_str()) {
            change(totals);
            assert!(totals.balanced(), "accounting of {service} does not add up: {totals:?}");
        }
    }

    fn end(&self, entry: &AdmittedRequest, count: impl FnOnce(&mut Totals)) {
        self.shard(&entry.id).lock().remove(&entry.id);
        self.change(&entry.service, |totals| {
            totals.in_flight -= 1;
            count(totals);
        });
    }
}

/// An admitted request. Dropping it without an outcome counts it as abandoned by its caller.
#[derive(Debug)]
pub struct AdmittedRequest {
    ledger: Arc<Ledger>,
    service: name::Service,
    id: request::Id,
    ended: bool,
}

impl AdmittedRequest {
    /// Records how the request ended.
    pub fn finish(mut self, outcome: &Outcome) {
        self.ended = true;
        let ledger = self.ledger.clone();
        ledger.end(&self, |totals| match outcome {
            Outcome::Answered(_) => totals.answered += 1,
            Outcome::Refused(_) => totals.refused += 1,
            Outcome::Unknown(_) => totals.unknown += 1,
        });
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if !self.ended {
            self.ledger.end(self, |totals| totals.abandoned += 1);
        }
    }
}
