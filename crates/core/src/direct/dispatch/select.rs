//! Selects a server: probes a few, those of the entry's own failure domain first, and chooses the
//! best.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;
use tokio::task::JoinHandle;

use super::Call;
use super::Dispatcher;
use super::admission;
use crate::direct::cold;
use crate::direct::connections;
use crate::direct::fleet;
use crate::direct::fleet::Candidate;
use crate::direct::fleet::Choice;
use crate::direct::fleet::Criteria;
use crate::direct::fleet::Pick;
use crate::direct::fleet::Scope;
use crate::direct::fleet::ServerNames;
use crate::direct::fleet::Work;
use crate::direct::port::Backend;
use crate::direct::rate_limit;
use crate::name;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Regular rounds of probes for one attempt. Each round probes other servers; all but the last one
/// only preferred servers of the entry's own failure domain.
const ROUNDS: usize = 3;

/// Servers that are considered before a request is refused, or all if there are fewer. While the probe
/// budget is used up, a round brings one server, which may be busy or silent while others are idle;
/// further rounds then follow the regular ones.
const MIN_CONSIDERED: usize = ROUNDS;

/// Timeout of a probe. It covers a round trip, the few milliseconds that a server takes, and an
/// entry that is short of processor time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after the first answer to a probe in which the other answers of the round are awaited.
const FURTHER_ANSWERS_TIMEOUT: Duration = Duration::from_millis(8);

/// Time in which the first answer of a round is awaited before further servers are probed.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Delay of a timer from which on this process has stalled, and a missing answer says nothing about the
/// server. Timers have a resolution of 1 ms.
const MIN_STALL: Duration = Duration::from_millis(10);

/// Time between two searches if no server could be used.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Divisor of the latency target that gives the time for which a request without a usable server
/// waits for one.
const WAIT_DIVISOR: u32 = 6;

/// Success probability from which on no further servers are probed for a request.
const LIKELY_PROBABILITY: f64 = 0.85;

/// Expected time that is always accepted, as a factor on the usual time. Requests that take longer
/// than their latency target even without load must not be refused for overload.
const USUAL_TIME_FACTOR: f64 = 1.5;

/// Assumed usual time of work before the first answer, as a fraction of the latency target.
const DEFAULT_USUAL_FRACTION: f64 = 0.4;

/// Time after which a missing answer counts as a failure, as a factor on the latency target.
const OVERDUE_FACTOR: f64 = 1.3;

/// Time left below which no attempt is made: a round trip and a little work.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The result of the search for a server.
pub(super) enum Selection {
    Pick(Pick),
    /// All servers are held back for this time, by rate limits or pauses.
    HeldBack(Duration),
    /// Why there is no server, and the expected time of the best one if that is too long.
    Refused(Refusal, Option<Duration>),
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// Selects a server of `service` that is not in `tried`. If none can be used, waits for one for
    /// a part of the latency target.
    pub(super) async fn select_server(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        tried: &ServerNames,
    ) -> Selection {
        let wait_until = call.received + call.latency_target() / WAIT_DIVISOR;
        loop {
            match self.probe_and_choose(call, service, tried).await {
                Choice::Pick(pick) => return Selection::Pick(pick),
                Choice::Overloaded(expected_time) => {
                    return Selection::Refused(Refusal::QueueFull, Some(expected_time));
                }
                Choice::NoServer => {}
            }
            let now = self.clock.now();
            let priority = call.route.priority;
            let wait = self.fleet.wait(service.as_str(), tried, priority, now);
            if let Some(wait) = wait {
                return Selection::HeldBack(wait);
            }
            if now + MIN_TIME_LEFT >= call.deadline() {
                return Selection::Refused(Refusal::Deadline, None);
            }
            if now >= wait_until {
                return Selection::Refused(Refusal::NoServer, None);
            }
            self.clock.sleep_until(now + RETRY_INTERVAL).await;
        }
    }

    /// Probes servers in rounds until one is likely to answer in time. From the last regular round on,
    /// also accepts a server that is less likely to.
    async fn probe_and_choose(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        tried: &ServerNames,
    ) -> Choice {
        let mut considered: ServerNames = ServerNames::new();
        let mut choice = Choice::NoServer;
        for round in 1.. {
            let last = round >= ROUNDS;
            let scope = if last { Scope::All } else { Scope::Preferred };
            let probed = self.probe_round(service, scope, &considered, tried).await;
            if probed.is_empty() && !last {
                continue;
            }
            if probed.is_empty() && round > ROUNDS {
                // All servers were considered.
                break;
            }
            self.note_silence(call, service);
            considered.extend(probed);
            choice = self.choose_considered(call, service, &considered, last);
            let enough = last && considered.len() >= MIN_CONSIDERED;
            if enough || matches!(choice, Choice::Pick(_)) {
                break;
            }
        }
        choice
    }

    /// Chooses among the servers in `considered`.
    fn choose_considered(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        considered: &ServerNames,
        last: bool,
    ) -> Choice {
        let now = self.clock.now();
        let criteria = self.criteria(call, service, last, now);
        let name = service.as_str();
        let rank = |server: &name::Vm, domain: &name::Domain| {
            self.rank_for_server(service, server, domain, now)
        };
        let owned = self.fleet.owned_cold(name, considered, now, |server, domain| {
            rank(server, domain) < cold::OWNER_COUNT
        });
        let entries = self.peers.live_count(now);
        self.fleet.share_limits(name, considered, now, |server, domain, limit| {
            rate_limit::share(limit, rank(server, domain), entries)
        });
        self.fleet.choose(name, considered, &criteria, &owned, now, &self.random)
    }

    /// Probes servers that are neither in `considered` nor in `tried`, unless their last load
    /// report is still fresh, and returns their names.
    pub(super) async fn probe_round(
        self: &Arc<Self>,
        service: &name::Service,
        scope: Scope,
        considered: &ServerNames,
        tried: &ServerNames,
    ) -> ServerNames {
        let now = self.clock.now();
        let Some(path) = self.probe_path(service) else {
            return ServerNames::new();
        };
        let mut excluded = considered.clone();
        excluded.extend(tried.iter().cloned());
        let count = self.allowed_probes(now);
        let name = service.as_str();
        let candidates = self.fleet.candidates(name, scope, &excluded, count, now, &self.random);
        let probes: SmallVec<[JoinHandle<()>; 8]> = candidates
            .iter()
            .filter(|candidate| candidate.needs_probe)
            .map(|candidate| self.spawn_probe(service, candidate, &path))
            .collect();
        self.count_probes(probes.len());
        await_answers(probes).await;
        candidates.into_iter().map(|candidate| candidate.server).collect()
    }

    /// Starts to look for entries that reach `service` if a whole round of probes has brought no
    /// answer.
    fn note_silence(&self, call: &Call<'_, B::Upload>, service: &name::Service) {
        let now = self.clock.now();
        let since = now.before(FIRST_ANSWER_TIMEOUT);
        if call.origin.is_none() && !self.fleet.has_answered_since(service.as_str(), since) {
            self.forwards.want(service, now);
        }
    }

    /// The path at which servers of `service` are probed.
    pub(super) fn probe_path(&self, service: &name::Service) -> Option<Box<str>> {
        Some(self.config()?.service(service)?.probe_path.clone())
    }

    /// Counts probes that are sent.
    pub(super) fn count_probes(&self, count: usize) {
        let mut usage = self.usage.lock();
        usage.probes.spend(count);
        usage.counts.probes += u64::try_from(count).unwrap_or(0);
    }

    /// Number of servers that may be probed at once now.
    fn allowed_probes(&self, now: Instant) -> usize {
        if self.usage.lock().probes.is_refill_due(now) {
            self.refresh_shares(now);
        }
        self.usage.lock().probes.allowed_now()
    }

    /// Updates this entry's shares of the probes and idle connections that all entries together may
    /// use.
    fn refresh_shares(&self, now: Instant) {
        let entries = self.peers.live_count(now);
        let rate = self.bounds.lock().probe_rate;
        let (usable, _) = self.fleet.server_counts(now);
        {
            let mut usage = self.usage.lock();
            usage.entries = entries;
            usage.probes.refill(now, rate, usable, entries);
        }
        let config = self.config();
        let services = config.iter().flat_map(|config| &config.services);
        if let Some(connections) = services.map(|service| service.connections).min() {
            self.backend.set_max_idle(connections::idle_limit(connections, entries));
        }
    }

    /// Spawns a probe in a task of its own. The task goes on if this request does not wait for it,
    /// so that other requests can use the answer and the connection is kept.
    pub(super) fn spawn_probe(
        self: &Arc<Self>,
        service: &name::Service,
        candidate: &Candidate,
        path: &str,
    ) -> JoinHandle<()> {
        let dispatcher = Arc::clone(self);
        let (service, candidate, path) = (service.clone(), candidate.clone(), path.to_owned());
        tokio::spawn(async move {
            let sent_at = dispatcher.clock.now();
            let answer = dispatcher.backend.probe(candidate.address, &path, PROBE_TIMEOUT).await;
            let (service, server) = (service.as_str(), candidate.server.as_str());
            let now = dispatcher.clock.now();
            dispatcher.fleet.record_probe(service, server, answer.as_ref(), sent_at, now);
        })
    }

    /// The conditions under which a server of `service` is chosen. If this is not the `last` round
    /// of probes, it must be likely to answer within the latency target.
    fn criteria(
        &self,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        last: bool,
        now: Instant,
    ) -> Criteria {
        let target = call.latency_target();
        let usual_time =
            self.fleet.usual_time(&call.route.name, target.mul_f64(DEFAULT_USUAL_FRACTION));
        let time_left = call.time_left(now);
        let least =
            admission::min_probability(call.route.priority, self.refused_fraction(service, now));
        let work = Work { usual_time, time_left }.or_whole_target(target, least);
        let (accept_within, min_probability, accepted_time) = if last {
            let least = admission::raised_for_spent_time(least, target, time_left);
            (target, least, usual_time.mul_f64(USUAL_TIME_FACTOR))
        } else {
            (work.time_left, LIKELY_PROBABILITY, Duration::ZERO)
        };
        Criteria {
            work,
            accept_within,
            min_probability,
            accepted_time,
            priority: call.route.priority,
            overdue_at: now + target.mul_f64(OVERDUE_FACTOR),
            cold_limit: self.cold_limit(service),
            competing_rate: self.competing_rate(service, now),
        }
    }

    /// Requests per second that this entry may send to a cold server of `service` that it owns.
    fn cold_limit(&self, service: &name::Service) -> usize {
        let bounds = *self.bounds.lock();
        let config = self.config();
        let cold_rate =
            config.and_then(|config| Some(config.service(service)?.cold_rate)).unwrap_or(0.0);
        fleet::cold_allowance(cold_rate * bounds.cold_factor + bounds.cold_slack)
    }

    /// The rank of this entry for `server` among those that reach its service; the first ones share a
    /// cold or limited server. An entry that has asked others for the service comes last.
    fn rank_for_server(
        &self,
        service: &name::Service,
        server: &name::Vm,
        domain: &name::Domain,
        now: Instant,
    ) -> usize {
        if self.forwards.has_given_up_share(service, now) {
            return usize::MAX;
        }
        let without = self.forwards.entries_without(service, now);
        self.peers.rank_for_server(server.as_str(), domain.as_str(), &without, now)
    }
}

/// Waits for the first answer to one of `probes`, and for a shorter time for the others.
async fn await_answers(probes: SmallVec<[JoinHandle<()>; 8]>) {
    if probes.is_empty() {
        return;
    }
    let mut pending: FuturesUnordered<_> = probes.into_iter().collect();
    loop {
        let end = tokio::time::Instant::now() + FIRST_ANSWER_TIMEOUT;
        if tokio::time::timeout_at(end, pending.next()).await.is_ok() {
            break;
        }
        // After a stall of this process, the answers may have arrived without having been read.
        if end.elapsed() < MIN_STALL {
            return;
        }
    }
    let rest = async { while pending.next().await.is_some() {} };
    // The task of a slower probe records its answer later.
    let _ = tokio::time::timeout(FURTHER_ANSWERS_TIMEOUT, rest).await;
}
