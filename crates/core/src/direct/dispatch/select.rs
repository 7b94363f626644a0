//! Finds a server: asks a few, nearest first, and takes the best.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;
use tokio::task::JoinHandle;

use super::Call;
use super::Dispatcher;
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
use crate::name;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Times that servers are asked for one attempt. Each time others are asked; the first time only
/// near ones.
const ROUNDS: usize = 3;

/// Time for the answer to a probe. It covers a round trip, the server's few milliseconds and an
/// entry that is short of processor time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// How long the other answers are waited for after the first one.
const STRAGGLERS: Duration = Duration::from_millis(8);

/// How long any answer is waited for before further servers are asked.
const FIRST_ANSWER: Duration = Duration::from_millis(30);

/// Pause before servers are asked again if none could be used.
const PAUSE: Duration = Duration::from_millis(20);

/// WeightedService of the aim for which a request without a usable server waits for one.
const WAIT_PART: u32 = 6;

/// Longest expected time that is accepted, as a factor on the aim, by priority. The less urgent
/// requests are refused first.
const LIMIT_FACTORS: [f64; 3] = [1.3, 1.1, 0.9];

/// Expected time that is accepted in any case, as a factor on the usual time: what takes longer than
/// its aim without load is not refused for overload.
const UNLOADED_FACTOR: f64 = 1.5;

/// Usual time of work before the first answer, as a part of the aim.
const FIRST_GUESS: f64 = 0.4;

/// Shortest time after which a missing answer counts as a fault, as a factor on the aim.
const OVERDUE_FACTOR: f64 = 1.3;

/// Time left below which nothing is sent: the round trip and a little work.
const MIN_LEFT: Duration = Duration::from_millis(5);

pub(super) enum Found {
    Pick(Pick),
    /// Why there is none, and the shortest expected time if that was too long.
    Nothing(Refusal, Option<Duration>),
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    pub(super) async fn find(
        self: &Arc<Self>,
        call: &Call<'_>,
        service: &name::Service,
        tried: &ServerNames,
    ) -> Found {
        let give_up = call.received + call.aim() / WAIT_PART;
        loop {
            match self.ask(call, service, tried).await {
                Choice::Pick(pick) => return Found::Pick(pick),
                Choice::Overloaded(best) => return Found::Nothing(Refusal::QueueFull, Some(best)),
                Choice::NoServer => {}
            }
            let now = self.clock.now();
            if now + MIN_LEFT >= call.until() {
                return Found::Nothing(Refusal::Deadline, None);
            }
            if now >= give_up {
                return Found::Nothing(Refusal::NoServer, None);
            }
            self.clock.sleep_until(now + PAUSE).await;
        }
    }

    /// Asks servers in rounds until one is good enough, or the last round takes the best.
    async fn ask(
        self: &Arc<Self>,
        call: &Call<'_>,
        service: &name::Service,
        tried: &ServerNames,
    ) -> Choice {
        let mut asked: ServerNames = ServerNames::new();
        let mut choice = Choice::NoServer;
        for round in 0..ROUNDS {
            let reach = if round == 0 { Scope::SameDomain } else { Scope::All };
            let fresh = self.probe_some(service, reach, &asked, tried).await;
            let last = round + 1 == ROUNDS;
            if fresh.is_empty() && !last {
                continue;
            }
            asked.extend(fresh);
            let now = self.clock.now();
            let terms = Criteria { only_likely: !last, ..self.terms(call, service, now) };
            let name = service.as_str();
            let owns = |server: &name::Vm, domain: &name::Domain| self.owns(server, domain, now);
            let owned = self.fleet.owned_cold(name, &asked, now, owns);
            choice = self.fleet.choose(name, &asked, &terms, &owned, now);
            if matches!(choice, Choice::Pick(_)) {
                return choice;
            }
        }
        choice
    }

    /// Probes servers that were not asked yet, and returns the names of those asked.
    async fn probe_some(
        self: &Arc<Self>,
        service: &name::Service,
        reach: Scope,
        asked: &ServerNames,
        tried: &ServerNames,
    ) -> ServerNames {
        let now = self.clock.now();
        let Some(path) =
            self.config().and_then(|plan| Some(plan.service(service)?.probe_path.clone()))
        else {
            return ServerNames::new();
        };
        let mut excluded = asked.clone();
        excluded.extend(tried.iter().cloned());
        let width = self.probe_width(now);
        let name = service.as_str();
        let found = self.fleet.candidates(name, reach, &excluded, width, now, &self.random);
        let probes: SmallVec<[JoinHandle<()>; 8]> = found
            .iter()
            .filter(|candidate| candidate.needs_probe)
            .map(|candidate| self.spawn_probe(service, candidate, &path))
            .collect();
        {
            let mut accounts = self.accounts.lock();
            accounts.probes.spend(probes.len());
            accounts.counts.probes += u64::try_from(probes.len()).unwrap_or(0);
        }
        wait(probes).await;
        found.into_iter().map(|candidate| candidate.server).collect()
    }

    fn probe_width(&self, now: Instant) -> usize {
        if self.accounts.lock().probes.is_refill_due(now) {
            self.take_shares(now);
        }
        self.accounts.lock().probes.allowed_now()
    }

    /// Works out this entry's shares of what all entries together may do.
    fn take_shares(&self, now: Instant) {
        let entries = self.peers.live_count(now);
        let rate = self.bounds.lock().probe_rate;
        let (usable, _) = self.fleet.server_counts(now);
        self.accounts.lock().probes.refill(now, rate, usable, entries);
        let plan = self.config();
        let services = plan.iter().flat_map(|plan| &plan.services);
        if let Some(connections) = services.map(|service| service.connections).min() {
            self.backend.set_max_idle(connections::idle_limit(connections, entries));
        }
    }

    /// A probe in a task of its own: its answer is of use for other requests even if this one does
    /// not wait for it, and its connection is kept.
    fn spawn_probe(
        self: &Arc<Self>,
        service: &name::Service,
        candidate: &Candidate,
        path: &str,
    ) -> JoinHandle<()> {
        let flow = Arc::clone(self);
        let (service, candidate, path) = (service.clone(), candidate.clone(), path.to_owned());
        tokio::spawn(async move {
            let probe = flow.backend.probe(candidate.address, &path, PROBE_TIMEOUT).await;
            let (service, server) = (service.as_str(), candidate.server.as_str());
            flow.fleet.record_probe(service, server, probe.as_ref(), flow.clock.now());
        })
    }

    fn terms(&self, call: &Call<'_>, service: &name::Service, now: Instant) -> Criteria {
        let aim = call.aim();
        let elapsed = now.since(call.received);
        let usual = self.fleet.usual_time(&call.route.name, aim.mul_f64(FIRST_GUESS));
        let rank = usize::try_from(call.route.priority).unwrap_or(usize::MAX);
        let factor = LIMIT_FACTORS[rank.min(LIMIT_FACTORS.len() - 1)];
        let bounds = *self.bounds.lock();
        let plan = self.config();
        let rate = plan.and_then(|plan| Some(plan.service(service)?.cold_rate)).unwrap_or(0.0);
        Criteria {
            work: Work { usual_time: usual, time_left: aim.saturating_sub(elapsed) },
            max_time: aim.mul_f64(factor).max(usual.mul_f64(UNLOADED_FACTOR)),
            overdue_at: now + aim.mul_f64(OVERDUE_FACTOR),
            cold_allowance: fleet::cold_allowance(rate * bounds.cold_factor + bounds.cold_slack),
            only_likely: false,
        }
    }

    /// Whether this entry is one of the few that send to `server` while it is cold.
    fn owns(&self, server: &name::Vm, domain: &name::Domain, now: Instant) -> bool {
        self.peers.rank_for_server(server.as_str(), domain.as_str(), now) < cold::OWNER_COUNT
    }
}

/// Waits for the first probe, and a little for the others.
async fn wait(probes: SmallVec<[JoinHandle<()>; 8]>) {
    if probes.is_empty() {
        return;
    }
    let mut pending: FuturesUnordered<_> = probes.into_iter().collect();
    if tokio::time::timeout(FIRST_ANSWER, pending.next()).await.is_err() {
        return;
    }
    let rest = async { while pending.next().await.is_some() {} };
    // A probe that takes longer is noted when it ends.
    let _ = tokio::time::timeout(STRAGGLERS, rest).await;
}
