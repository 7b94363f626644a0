//! The path of a request through an entry.
//!
//! [`Router::serve`] admits a request of a caller and sends one attempt at a time until the request
//! has an outcome. Each attempt goes to a held server with room or else to a peer that reports
//! room; if there is neither, the request waits in the queue of the service. The evidence of all
//! attempts gives exactly one outcome. [`Router::serve_forwarded`] is the receiving side of a
//! forward: it sends the attempt to a held server at once or refuses it.
//!
//! Another attempt is sent only if the request is idempotent or all earlier attempts are proved not
//! to have run. Every check that a suspension of the process can invalidate is repeated right
//! before an attempt is sent.

mod address;
mod admit;
mod attempt;
mod destination;
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

/// Number of events that the time line keeps, some hundred kilobytes.
const TIMELINE_EVENTS: usize = 4_096;

/// Attempts and times of a request, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stats {
    /// Attempts sent to servers or peers.
    pub attempts: u32,
    /// Attempts sent to peers.
    pub forwards: u32,
    /// Attempts after the first that counted against the retry budget.
    pub retries: u32,
    /// Time spent in the queue of the service.
    pub queue_time: Duration,
    /// Time spent on attempts.
    pub attempt_time: Duration,
}

/// The result of serving a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// How the request ended.
    pub outcome: Outcome,
    /// Its attempts and times.
    pub stats: Stats,
}

/// The tables that the request path shares with the control tasks.
#[derive(Debug)]
pub struct Tables {
    /// Whether the entry accepts new work.
    pub gate: Gate,
    /// The documents in force.
    pub intent: intent::DocumentTable,
    /// The other entries.
    pub peers: Peers,
    /// Requests in flight and their outcomes.
    pub ledger: Arc<Ledger>,
    /// The time line.
    pub timeline: Timeline,
    /// Notified when a held server may need a claim.
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
            timeline: Timeline::new(TIMELINE_EVENTS),
            claim_needed: Notify::new(),
            routes: Mutex::new(Rank::Intent, Arc::default()),
        }
    }

    /// The routes to all services.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.lock().clone()
    }

    /// Records a state change of a held server on the time line, and requests a claim if the server
    /// may need one.
    pub fn record_server_change(
        &self,
        journal: &impl Journal,
        service: &name::Service,
        change: ServerChange,
    ) {
        let (service, vm) = (service.clone(), change.vm);
        match change.change {
            Change::Cold(why) => {
                journal.record(Event::Cold(service, vm, why));
                self.claim_needed.notify_one();
            }
            Change::DrainEnded => {
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

    /// Replaces the routes to all services.
    pub fn set_routes(&self, routes: Arc<Routes>) {
        *self.routes.lock() = routes;
    }
}

/// Serves requests of callers and of peers.
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

    /// The journal that records events on the time line.
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
                let outcome =
                    self.send_attempts(&admission.route, &admission.request, &mut stats).await;
                admission.entry.finish(&outcome);
                outcome
            }
            Err(outcome) => outcome,
        };
        Completion { outcome, stats }
    }

    /// Sends an attempt that a peer forwarded to a held server at once, or refuses it. Also returns
    /// the number of requests of the service that could be sent at once afterwards.
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
