//! Counts each admitted request from admission to outcome.
//!
//! The identity accepted = answered + refused + unknown + abandoned + in flight is asserted at each
//! change. It holds by construction: an [`AdmittedRequest`] is finished exactly once, when its
//! outcome is recorded or when it is dropped because the caller disconnected.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::outcome::Outcome;
use crate::request;

/// Number of shards of the set of ids in flight.
const ID_SHARDS: usize = 16;

/// Counts of requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// Requests admitted.
    pub accepted: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests that certainly did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose caller disconnected before the outcome.
    pub abandoned: u64,
    /// Requests that have no outcome yet.
    pub in_flight: u64,
}

impl Totals {
    /// Whether the counts by outcome and the requests in flight add up to the admitted requests.
    pub fn balanced(&self) -> bool {
        let finished = self.answered + self.refused + self.unknown + self.abandoned;
        self.accepted == finished + self.in_flight
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

/// The ids of requests in flight and the counts of requests by outcome, for all services.
#[derive(Debug)]
pub struct Ledger {
    ids_in_flight: Vec<Mutex<HashSet<request::Id>>>,
    totals: Mutex<HashMap<name::Service, Totals>>,
}

impl Default for Ledger {
    fn default() -> Self {
        let shard = || Mutex::new(Rank::Ledger, HashSet::new());
        Self {
            ids_in_flight: std::iter::repeat_with(shard).take(ID_SHARDS).collect(),
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
        self.update(service, |totals| {
            totals.accepted += 1;
            totals.in_flight += 1;
        });
        Some(AdmittedRequest {
            ledger: self.clone(),
            service: service.clone(),
            id: id.clone(),
            finished: false,
        })
    }

    /// The counts of one service.
    pub fn totals(&self, service: &str) -> Totals {
        self.totals.lock().get(service).copied().unwrap_or_default()
    }

    /// The counts of all services added up.
    pub fn sum(&self) -> Totals {
        let mut sum = Totals::default();
        self.totals.lock().values().for_each(|totals| sum.add(totals));
        sum
    }

    fn shard(&self, id: &request::Id) -> &Mutex<HashSet<request::Id>> {
        let hash = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
        &self.ids_in_flight[hash as usize % ID_SHARDS]
    }

    fn update(&self, service: &name::Service, update: impl FnOnce(&mut Totals)) {
        let mut totals = self.totals.lock();
        if !totals.contains_key(service.as_str()) {
            totals.insert(service.clone(), Totals::default());
        }
        if let Some(totals) = totals.get_mut(service.as_str()) {
            update(totals);
            assert!(totals.balanced(), "accounting of {service} does not add up: {totals:?}");
        }
    }

    /// Removes a request from those in flight; `count` counts its outcome.
    fn remove(&self, request: &AdmittedRequest, count: impl FnOnce(&mut Totals)) {
        self.shard(&request.id).lock().remove(&request.id);
        self.update(&request.service, |totals| {
            totals.in_flight -= 1;
            count(totals);
        });
    }
}

/// An admitted request. If it is dropped without an outcome, it counts as abandoned by its caller.
#[derive(Debug)]
pub struct AdmittedRequest {
    ledger: Arc<Ledger>,
    service: name::Service,
    id: request::Id,
    finished: bool,
}

impl AdmittedRequest {
    /// Records the outcome of the request.
    pub fn finish(mut self, outcome: &Outcome) {
        self.finished = true;
        let ledger = self.ledger.clone();
        ledger.remove(&self, |totals| match outcome {
            Outcome::Answered(_) => totals.answered += 1,
            Outcome::Refused(_) => totals.refused += 1,
            Outcome::Unknown(_) => totals.unknown += 1,
        });
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if !self.finished {
            self.ledger.remove(self, |totals| totals.abandoned += 1);
        }
    }
}
