//! Dispatches requests: selects a server, sends the request, and decides whether to retry.
//!
//! A request is retried only if no server can have run it, or if it is idempotent, and within three
//! limits: the attempts that its route allows, the retry budget of its service, and the time left.
//! It is refused, which tells the caller that it has not run, only if every attempt proves that.
//!
//! An answer is sent as soon as it is final. Under overload that is at once: if even the best of
//! the probed servers would answer too late, the request is refused with a time after which the
//! caller may retry.

mod admission;
mod call;
mod caller_wait;
mod forward;
mod hedge;
mod origin;
mod retry_after;
mod select;
mod suspect;
mod usage;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use self::call::Progress;
use self::origin::OriginRequests;
use self::select::Selection;
use self::usage::Usage;
use crate::direct::config::Config;
use crate::direct::config::Route;
use crate::direct::fleet::AttemptEnd;
use crate::direct::fleet::Fleet;
use crate::direct::fleet::Pick;
use crate::direct::forward::Forwards;
use crate::direct::forward::Hop;
use crate::direct::freshness::Freshness;
use crate::direct::peers::Peers;
use crate::direct::port::Backend;
use crate::direct::port::Upload;
use crate::direct::retries;
use crate::direct::suspects::Occupancy;
use crate::direct::suspects::Suspects;
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
pub use self::call::ForwardRecord;
pub use self::call::Origin;
pub use self::origin::OriginGuard;
pub use self::usage::Counts;

/// Time before a request's timeout at which its attempts end, so that the answer to the caller
/// still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);

/// Limits that the platform and the operators set outside the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Retry budget of a service.
    pub retry: retries::Limit,
    /// Factor on the rate that a cold server can take.
    pub cold_factor: f64,
    /// Requests per second that a cold server can take in addition.
    pub cold_slack: f64,
    /// Probes of a server per second from all entries.
    pub probe_rate: f64,
}

/// A server that was selected for an attempt.
struct Reservation<'a> {
    pick: Pick,
    /// Keeps other suspect requests away from the server, if this request is one.
    _occupancy: Option<Occupancy<'a>>,
}

/// Where the next attempt of a request goes.
enum Destination<'a> {
    Server(Reservation<'a>),
    Entry(Hop<'a>),
}

/// Dispatches the requests of an entry.
#[derive(Debug)]
pub struct Dispatcher<B, C, R> {
    /// The servers.
    pub fleet: Fleet,
    /// The entries.
    pub peers: Peers,
    /// Requests under which servers crashed.
    pub suspects: Suspects,
    /// The entries that reach services which this one does not.
    pub forwards: Forwards,
    /// Requests that other entries have passed on to this one.
    pub origin_requests: OriginRequests,
    backend: B,
    clock: C,
    random: R,
    config: Mutex<Option<Arc<Config>>>,
    /// Notified when a configuration comes into force.
    configured: Notify,
    freshness: Mutex<Freshness>,
    bounds: Mutex<Bounds>,
    /// When the planned stop cuts what is in flight, once it has begun.
    stop_at: Mutex<Option<Instant>>,
    usage: Mutex<Usage>,
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// Creates a dispatcher without a configuration.
    pub fn new(
        (fleet, peers): (Fleet, Peers),
        (backend, clock, random): (B, C, R),
        bounds: Bounds,
    ) -> Self {
        let started = clock.now();
        Self {
            fleet,
            peers,
            suspects: Suspects::default(),
            forwards: Forwards::default(),
            origin_requests: OriginRequests::default(),
            backend,
            clock,
            random,
            config: Mutex::new(Rank::Intent, None),
            configured: Notify::new(),
            freshness: Mutex::new(Rank::Intent, Freshness::new(started)),
            bounds: Mutex::new(Rank::Intent, bounds),
            stop_at: Mutex::new(Rank::Intent, None),
            usage: Mutex::new(Rank::Ledger, Usage::default()),
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
        self.config.lock().clone()
    }

    /// Puts `config` in force, unless a configuration of the same or a higher version is in force.
    /// Returns whether it did.
    pub fn set_config(&self, config: Config) -> bool {
        let mut current = self.config.lock();
        if current.as_ref().is_some_and(|old| old.version >= config.version) {
            return false;
        }
        // If all entries started their splits at the same position, they would all favour the same
        // service.
        for route in config.hosts.iter().flat_map(|host| &host.routes) {
            let position = u32::try_from(self.random.below(1 << 32)).unwrap_or(0);
            route.split_position.store(position, std::sync::atomic::Ordering::Relaxed);
        }
        *current = Some(Arc::new(config));
        drop(current);
        self.configured.notify_waiters();
        true
    }

    /// Waits until a configuration is in force.
    pub async fn wait_for_config(&self) {
        let notified = self.configured.notified();
        if self.config().is_none() {
            notified.await;
        }
    }

    /// Records that the state held here was known to be the store's latest at `at`.
    pub fn record_proof(&self, at: Instant) {
        self.freshness.lock().record_proof(at);
    }

    /// Discards the freshness proof after the process was suspended.
    pub fn discard_proof(&self) {
        self.freshness.lock().discard();
    }

    /// Age of the last freshness proof; `None` if there is none.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.lock().proof_age(now)
    }

    /// Whether this entry is cut off from the platform's store and from all its peers. With contact
    /// to either of them it learns of changes, or knows that there are none.
    pub fn is_fenced(&self, now: Instant) -> bool {
        self.freshness.lock().is_expired(now) && self.peers.is_isolated(now)
    }

    /// Refuses new requests from now on that may last until after `at`, when the planned stop cuts what
    /// is in flight: an answer after that would be lost, and the request may have run.
    pub fn set_stop(&self, at: Instant) {
        *self.stop_at.lock() = Some(at);
    }

    /// Whether the planned stop may cut the request.
    fn may_be_cut(&self, call: &Call<'_, B::Upload>) -> bool {
        self.stop_at.lock().is_some_and(|stop_at| call.deadline() > stop_at)
    }

    /// Applies changed limits.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.lock() = bounds;
    }

    /// Numbers of requests, attempts and probes since the start.
    pub fn counts(&self) -> Counts {
        self.usage.lock().counts
    }

    /// The route of a request.
    ///
    /// # Errors
    ///
    /// No configuration is in force, or it has no such route, or this entry is fenced. An entry
    /// whose configuration may be out of date is fenced for the routes that it does not know.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
        let now = self.clock.now();
        if self.is_fenced(now) {
            return Err(Refusal::Fenced);
        }
        let config = self.config().ok_or(Refusal::NotReady)?;
        match config.route(host, path) {
            Some(route) => Ok(Arc::clone(route)),
            None if self.freshness.lock().is_up_to_date(now) => Err(Refusal::UnknownService),
            None => Err(Refusal::Fenced),
        }
    }

    /// Serves a request. Dropping the future drops the attempts in flight.
    pub async fn serve(self: &Arc<Self>, call: Call<'_, B::Upload>) -> Completion {
        let waited = if call.origin.is_some() { call.waited } else { self.waited(&call) };
        let call = Call { waited: call.waited.max(waited), ..call };
        let mut progress = Progress::default();
        let outcome = self.run_attempts(&call, &mut progress).await;
        let counts = &mut self.usage.lock().counts;
        match &outcome {
            Outcome::Answered(_) => counts.answered += 1,
            Outcome::Refused(_) => counts.refused += 1,
            Outcome::Unknown(_) => counts.unknown += 1,
        }
        progress.into_completion(outcome, call.waited, &self.random)
    }

    async fn run_attempts(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        progress: &mut Progress,
    ) -> Outcome {
        if self.may_be_cut(call) {
            return Outcome::Refused(Refusal::Leaving);
        }
        let service = match self.choose_service(call) {
            Ok(service) => service,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        self.count_request(call, service);
        loop {
            let result = match self.reserve(call, service, progress).await {
                Ok(Destination::Server(reservation)) => {
                    Ok(self.send_with_hedge(call, service, &reservation.pick, progress).await)
                }
                Ok(Destination::Entry(hop)) => self.forward(call, service, hop, progress).await,
                Err(refusal) => Err(refusal),
            };
            match result {
                Ok(Some(answer)) => return Outcome::Answered(answer),
                Ok(None) => {}
                Err(refusal) => return progress.outcome_without_success(refusal),
            }
            let upload_begun = call.upload.is_some_and(Upload::has_begun);
            if upload_begun || progress.may_have_run() && !call.route.kind.is_idempotent() {
                return progress.outcome_without_success(Refusal::Attempts);
            }
            self.await_crash_probe(call, progress).await;
            if self.clock.now() >= call.deadline() {
                return progress.outcome_without_success(Refusal::Deadline);
            }
        }
    }

    /// The service of the request: the one that the entry chose that passed it on, else the next one of
    /// the route. That entry may have an older configuration, in which the route had other services.
    fn choose_service<'a>(&self, call: &Call<'a, B::Upload>) -> Result<&'a name::Service, Refusal> {
        let Some(origin) = call.origin else {
            return call.route.next_service().ok_or(Refusal::NoServer);
        };
        let mut services = call.route.services.iter();
        let is_served = services.any(|weighted| weighted.service == *origin.service);
        if is_served { Ok(origin.service) } else { Err(Refusal::NotReady) }
    }

    /// Selects where the next attempt goes, and counts it. The error is why there is nowhere to go.
    async fn reserve(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        progress: &mut Progress,
    ) -> Result<Destination<'_>, Refusal> {
        if let Some(hold) = self.hold(call) {
            progress.unavailable_for = Some(hold);
            return Err(Refusal::Suspect);
        }
        if let Some(hop) = self.choose_hop(call, service, progress) {
            return self.reserve_hop(call, service, hop, progress);
        }
        let lost = self.fleet.has_lost_contact(service.as_str());
        if lost && !progress.forwards.is_empty() {
            return Err(Refusal::NoServer);
        }
        match self.reserve_server(call, service, progress).await {
            Err(Refusal::NoServer) => {
                let hop = self.choose_hop_after_silence(call, service, progress);
                self.reserve_hop(call, service, hop.ok_or(Refusal::NoServer)?, progress)
            }
            result => result.map(Destination::Server),
        }
    }

    /// Counts that the request is passed on.
    fn reserve_hop<'a>(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        hop: Hop<'a>,
        progress: &mut Progress,
    ) -> Result<Destination<'a>, Refusal> {
        let allowed = self.allow_attempt(call, service, progress);
        if allowed { Ok(Destination::Entry(hop)) } else { Err(Refusal::Attempts) }
    }

    /// Selects a server for one attempt, and counts the attempt. The error is why there is none.
    async fn reserve_server(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        progress: &mut Progress,
    ) -> Result<Reservation<'_>, Refusal> {
        loop {
            let suspect = self.is_suspect(call);
            let excluded = self.excluded_servers(&progress.tried, suspect);
            let pick = match self.select_server(call, service, &excluded).await {
                Selection::Pick(pick) => pick,
                Selection::HeldBack(wait) => {
                    progress.unavailable_for = Some(wait);
                    return Err(Refusal::RateLimit);
                }
                Selection::Refused(refusal, best_expected) => {
                    if refusal == Refusal::QueueFull {
                        self.count_overload(call, service);
                    }
                    progress.best_expected = best_expected;
                    return Err(refusal);
                }
            };
            let occupancy = suspect.then(|| self.suspects.occupy(&pick.server));
            if matches!(occupancy, Some(None)) {
                // Another suspect request was quicker; this one takes another server.
                self.release(call, service, &pick);
                if let Some(hold) = self.hold(call) {
                    progress.unavailable_for = Some(hold);
                    return Err(Refusal::Suspect);
                }
                continue;
            }
            if !self.allow_attempt(call, service, progress) {
                self.release(call, service, &pick);
                return Err(Refusal::Attempts);
            }
            self.usage.lock().counts.attempts += 1;
            return Ok(Reservation { pick, _occupancy: occupancy.flatten() });
        }
    }

    /// Whether one more attempt is allowed: by the attempts of the route, and by the service's
    /// retry budget if an earlier attempt has reached a server.
    fn allow_attempt(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        progress: &mut Progress,
    ) -> bool {
        if progress.sends >= call.max_attempts() || progress.unsent >= call::MAX_UNSENT_ATTEMPTS {
            return false;
        }
        let retry = progress.has_arrived();
        if retry && !self.take_retry(service) {
            return false;
        }
        true
    }

    /// Ends the attempt at `pick`, which was not sent.
    fn release(&self, call: &Call<'_, B::Upload>, service: &name::Service, pick: &Pick) {
        let result = AttemptEnd::Abandoned;
        let now = self.clock.now();
        self.fleet.finish(service.as_str(), &call.route.name, pick, result, now);
    }
}
