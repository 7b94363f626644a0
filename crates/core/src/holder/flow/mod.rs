//! The path of a request through an entry.
//!
//! [`Router::serve`] admits a request of a caller, finds a place for it (a held server with room, a
//! peer that reports room, or a wait for either), sends one attempt at a time, and turns what the
//! attempts prove into exactly one outcome. [`Router::serve_forwarded`] is the other end of a
//! forward: it dispatches to a held server at once or refuses.
//!
//! A second attempt is sent only if the request is idempotent or all earlier attempts are proved not
//! to have run. Every check that a pause of the process can invalidate is made again right before an
//! attempt is sent.

mod address;
mod admit;
mod attempt;
mod place;
mod retry;
mod route;
mod vacancy;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::holder::control::TimelineJournal;
use crate::holder::event::Event;
use crate::holder::event::Timeline;
use crate::holder::gate::Gate;
use crate::holder::intent;
use crate::holder::ledger::Ledger;
use crate::holder::member::Peers;
use crate::holder::pool::Change;
use crate::holder::pool::ServerChange;
use crate::holder::port::Journal;
use crate::holder::port::Ports;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::outcome::Evidence;
use crate::outcome::NotRun;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::request::Attempt;
use crate::request::Request;
use crate::time::Instant;

pub use self::address::Addresses;
pub use self::address::WeightedAddress;
pub use self::admit::Submission;
pub use self::route::Endpoints;
pub use self::route::Route;
pub use self::route::Routes;
pub use self::vacancy::VACANCY_POLLERS;

/// Events kept for the time line, some hundred kilobytes.
const EVENTS: usize = 4_096;

/// What happened to a request besides its outcome, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stats {
    /// Attempts sent to servers or peers.
    pub attempts: u32,
    /// Attempts sent to peers.
    pub forwards: u32,
    /// Attempts after the first that counted against the retry budget.
    pub retries: u32,
    /// Time spent waiting for a place.
    pub queue_time: Duration,
    /// Time spent on attempts.
    pub attempt_time: Duration,
}

/// A request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// How it ended.
    pub outcome: Outcome,
    /// What happened on the way.
    pub stats: Stats,
}

/// The tables that the request path uses.
#[derive(Debug)]
pub struct Tables {
    /// Whether new work is taken.
    pub gate: Gate,
    /// The documents in force.
    pub intent: intent::DocumentTable,
    /// The other entries.
    pub peers: Peers,
    /// Requests in flight and their outcomes.
    pub ledger: Arc<Ledger>,
    /// The time line.
    pub timeline: Timeline,
    /// Told when a held server has no confirmed claim and needs one.
    pub claim_needed: Notify,
    routes: Mutex<Arc<Routes>>,
}

impl Tables {
    /// Creates empty tables for the entry `own`, whose process started at `start`.
    pub fn new(own: name::Vm, start: Instant) -> Self {
        Self {
            gate: Gate::new(start),
            intent: intent::DocumentTable::new(),
            peers: Peers::new(own, start),
            ledger: Arc::default(),
            timeline: Timeline::new(EVENTS),
            claim_needed: Notify::new(),
            routes: Mutex::new(Rank::Intent, Arc::default()),
        }
    }

    /// The services that requests can go to now.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.lock().clone()
    }

    /// Records what happened to a held server.
    pub fn record_server_change(
        &self,
        journal: &impl Journal,
        service: &name::Service,
        notice: ServerChange,
    ) {
        let (service, vm) = (service.clone(), notice.vm);
        match notice.change {
            Change::Cold(why) => {
                journal.record(Event::Cold(service, vm, why));
                self.claim_needed.notify_one();
            }
            Change::Returned => {
                journal.record(Event::Included(service, vm));
                self.claim_needed.notify_one();
            }
            Change::Warm => journal.record(Event::Warm(service, vm)),
            Change::Draining => {
                let why = "the server is draining".to_owned();
                journal.record(Event::Excluded(service, vm, why));
            }
        }
    }

    /// Replaces the services that requests can go to.
    pub fn set_routes(&self, routes: Arc<Routes>) {
        *self.routes.lock() = routes;
    }
}

/// Serves requests with the given ports.
#[derive(Debug)]
pub struct Router<O> {
    tables: Arc<Tables>,
    ports: Arc<O>,
}

impl<O: Ports> Router<O> {
    /// Creates a router.
    pub fn new(tables: Arc<Tables>, ports: Arc<O>) -> Self {
        Self { tables, ports }
    }

    /// The clock.
    pub fn clock(&self) -> &O::Clock {
        self.ports.clock()
    }

    pub(crate) fn journal(&self) -> TimelineJournal<'_, O::Clock> {
        TimelineJournal { tables: &self.tables, clock: self.clock() }
    }

    /// The tables.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Serves a request of a caller. Dropping the future abandons the request.
    pub async fn serve(&self, submission: Submission) -> Completion {
        let mut stats = Stats::default();
        let outcome = match self.admit(submission) {
            Ok(admission) => {
                let outcome = self.run(&admission.route, &admission.request, &mut stats).await;
                admission.entry.finish(&outcome);
                outcome
            }
            Err(outcome) => outcome,
        };
        Completion { outcome, stats }
    }

    /// Dispatches a forwarded attempt at once, or refuses it. Also returns the number of requests
    /// of the service that could be dispatched after it.
    pub async fn serve_forwarded(&self, request: &Request, number: u32) -> (Evidence, u32) {
        let now = self.clock().now();
        if let Err(refusal) = self.tables.gate.check_admission(now) {
            return (Evidence::NotRun(NotRun::Refused(refusal)), 0);
        }
        let Some(route) = self.tables.routes().get(request.service.as_str()) else {
            return (Evidence::NotRun(NotRun::Refused(Refusal::UnknownService)), 0);
        };
        let evidence = match route.pool().acquire(now, request.idempotent) {
            Some(permit) => {
                let deadline = request.deadline;
                let answer_limit = route.settings().policy.body_limit;
                let attempt = Attempt { request, number, deadline, answer_limit };
                self.dispatch(&route, permit, attempt).await
            }
            None => Evidence::NotRun(NotRun::Refused(Refusal::Full)),
        };
        (evidence, route.pool().capacity(self.clock().now()).free)
    }
}
