//! The way of a request: find a server, send, and decide what a failure allows.
//!
//! A request is repeated only if no server can have run it, or if it is idempotent, and within three
//! limits: the number of servers of its route, the retry budget of its service, and the time left.
//! It is refused, and the refusal says that it has not run, only if every attempt proves that.
//!
//! An answer goes out as soon as it is final. Under overload that is at once: if even the best of
//! the servers asked would take longer than the request is worth, the caller is told when to come
//! back.

mod call;
mod hedge;
mod select;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use self::call::Trail;
use self::select::Found;
use crate::direct::config::Config;
use crate::direct::config::Route;
use crate::direct::fleet::AttemptResult;
use crate::direct::fleet::Fleet;
use crate::direct::fleet::Pick;
use crate::direct::peers::Peers;
use crate::direct::port::Backend;
use crate::direct::probes;
use crate::direct::retries;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

pub use self::call::AttemptRecord;
pub use self::call::Call;
pub use self::call::Completion;

/// Time before the end of a request's time at which a missing answer is given up, so that the
/// caller's own answer still arrives in time.
const END_MARGIN: Duration = Duration::from_millis(8);

/// Time without contact after which an entry refuses new work: it cannot know which failure domains
/// are out of service and which servers have left.
const FENCE_AFTER: Duration = Duration::from_secs(5);

/// What the platform and the operators limit, besides the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Retry budget of a service.
    pub retry: retries::Limit,
    /// Factor on the rate that a cold server bears.
    pub cold_factor: f64,
    /// Requests a second that a cold server bears beside that.
    pub cold_slack: f64,
    /// Probes of a server per second from all entries.
    pub probe_rate: f64,
}

/// Numbers of requests that ended in each way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// The caller got a server's answer.
    pub answered: u64,
    /// The request did not run.
    pub refused: u64,
    /// The request may have run.
    pub unknown: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Attempts beyond the first of a request.
    pub retries: u64,
    /// Probes of servers.
    pub probes: u64,
}

#[derive(Debug, Default)]
struct Accounts {
    windows: HashMap<name::Service, retries::Window>,
    probes: probes::Budget,
    counts: Counts,
}

/// Decides on requests.
#[derive(Debug)]
pub struct Dispatcher<B, C, R> {
    /// The servers.
    pub fleet: Fleet,
    /// The entries.
    pub peers: Peers,
    backend: B,
    clock: C,
    random: R,
    plan: Mutex<Option<Arc<Config>>>,
    /// Told when a plan comes into force.
    planned: Notify,
    /// When the state of the platform's store was last proved to be known here.
    proved: Mutex<Instant>,
    bounds: Mutex<Bounds>,
    accounts: Mutex<Accounts>,
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// Creates the decisions of an entry, without a configuration and without servers.
    pub fn new(
        (fleet, peers): (Fleet, Peers),
        (backend, clock, random): (B, C, R),
        bounds: Bounds,
    ) -> Self {
        let started = clock.now();
        Self {
            fleet,
            peers,
            backend,
            clock,
            random,
            plan: Mutex::new(Rank::Intent, None),
            planned: Notify::new(),
            proved: Mutex::new(Rank::Intent, started),
            bounds: Mutex::new(Rank::Intent, bounds),
            accounts: Mutex::new(Rank::Ledger, Accounts::default()),
        }
    }

    /// The clock.
    pub fn clock(&self) -> &C {
        &self.clock
    }

    /// The source of random numbers.
    pub fn random(&self) -> &R {
        &self.random
    }

    /// The configuration in force, if there is one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.plan.lock().clone()
    }

    /// Puts `plan` in force, unless a plan of the same or a higher version is.
    pub fn set_config(&self, plan: Config) -> bool {
        let mut current = self.plan.lock();
        if current.as_ref().is_some_and(|old| old.version >= plan.version) {
            return false;
        }
        // Entries that start their splits at the same place would all favour the same part.
        for route in plan.hosts.iter().flat_map(|host| &host.routes) {
            let turn = u32::try_from(self.random.below(1 << 32)).unwrap_or(0);
            route.split_position.store(turn, std::sync::atomic::Ordering::Relaxed);
        }
        *current = Some(Arc::new(plan));
        drop(current);
        self.planned.notify_waiters();
        true
    }

    /// Waits until a configuration is in force.
    pub async fn wait_for_config(&self) {
        let planned = self.planned.notified();
        if self.config().is_none() {
            planned.await;
        }
    }

    /// Notes that the state of the platform's store at `at` is known here.
    pub fn record_proof(&self, at: Instant) {
        let mut proved = self.proved.lock();
        *proved = at.max(*proved);
    }

    /// Whether this entry is cut off from the platform's store and from all its peers. With either of
    /// them it knows, or can tell from the other's silence, what is in force.
    pub fn is_fenced(&self, now: Instant) -> bool {
        let proved = *self.proved.lock();
        now.since(proved) > FENCE_AFTER && self.peers.is_isolated(now)
    }

    /// Applies changed bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.lock() = bounds;
    }

    /// Numbers of requests so far.
    pub fn counts(&self) -> Counts {
        self.accounts.lock().counts
    }

    /// The route of a request.
    ///
    /// # Errors
    ///
    /// No configuration is in force, or it has no such route, or this entry is fenced.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
        if self.is_fenced(self.clock.now()) {
            return Err(Refusal::Fenced);
        }
        let plan = self.config().ok_or(Refusal::NotReady)?;
        plan.route(host, path).cloned().ok_or(Refusal::UnknownService)
    }

    /// Serves a request. Dropping the future ends the attempt in flight.
    pub async fn serve(self: &Arc<Self>, call: Call<'_>) -> Completion {
        let mut trail = Trail::default();
        let outcome = self.attempts(&call, &mut trail).await;
        let counts = &mut self.accounts.lock().counts;
        match &outcome {
            Outcome::Answered(_) => counts.answered += 1,
            Outcome::Refused(_) => counts.refused += 1,
            Outcome::Unknown(_) => counts.unknown += 1,
        }
        trail.end(outcome, &self.random)
    }

    async fn attempts(self: &Arc<Self>, call: &Call<'_>, trail: &mut Trail) -> Outcome {
        let Some(service) = call.route.next_service() else {
            return Outcome::Refused(Refusal::NoServer);
        };
        self.open_account(service);
        loop {
            let pick = match self.find(call, service, &trail.tried).await {
                Found::Pick(pick) => pick,
                Found::Nothing(refusal, best) => {
                    trail.best = best;
                    return trail.close(refusal);
                }
            };
            if !self.charge(call, service, trail) {
                self.give_back(call, service, &pick);
                return trail.close(Refusal::Attempts);
            }
            if let Some(answer) = self.race(call, service, &pick, trail).await {
                return Outcome::Answered(answer);
            }
            if trail.may_have_run() && !call.route.idempotent {
                return trail.close(Refusal::Attempts);
            }
            if self.clock.now() >= call.until() {
                return trail.close(Refusal::Deadline);
            }
        }
    }

    fn open_account(&self, service: &name::Service) {
        let limit = self.bounds.lock().retry;
        let now = self.clock.now();
        let mut accounts = self.accounts.lock();
        accounts.windows.entry(service.clone()).or_default().count_request(now, &limit);
    }

    /// Whether one more attempt is allowed: by the number of servers of the route, and by the
    /// service's retry budget if an earlier attempt has arrived anywhere.
    fn charge(&self, call: &Call<'_>, service: &name::Service, trail: &mut Trail) -> bool {
        if trail.sends >= call.route.max_attempts.max(1) || trail.refused_sends >= call::MAX_UNSENT
        {
            return false;
        }
        let repeat = trail.arrived();
        if repeat && !self.take_repeat(service) {
            return false;
        }
        self.accounts.lock().counts.attempts += 1;
        true
    }

    fn take_repeat(&self, service: &name::Service) -> bool {
        let limit = self.bounds.lock().retry;
        let now = self.clock.now();
        let entries = self.peers.live_count(now);
        let mut accounts = self.accounts.lock();
        let taken =
            accounts.windows.entry(service.clone()).or_default().try_retry(now, &limit, entries);
        if taken {
            accounts.counts.retries += 1;
        }
        taken
    }

    fn give_back(&self, call: &Call<'_>, service: &name::Service, pick: &Pick) {
        let landing = AttemptResult::Abandoned;
        let now = self.clock.now();
        self.fleet.finish(service.as_str(), &call.route.name, pick, landing, now);
    }
}
