use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Event;
use super::Fault;
use super::Faults;
use super::Ledger;
use super::Load;
use super::Mislead;
use super::Options;
use super::Overrun;
use super::Reports;

/// Identifies a request on the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that comes in.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// The caller's id.
    pub id: &'a str,
    /// Number of the attempt.
    pub attempt: u32,
}

/// What happens to a request that comes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs or waits; see [`Model::phase`].
    Entered(Ticket),
    /// It does not run, for this reason.
    Shed(&'static str),
    /// It fails without proof.
    Failed(Manner),
}

/// How a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// With an answer of status 500.
    Error,
    /// The connection breaks.
    Hangup,
}

/// Where a request on the server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs for this time.
    Running(Duration),
    /// It was lost.
    Failed(Manner),
}

#[derive(Debug)]
struct Request {
    id: String,
    attempt: u32,
    phase: Phase,
}

#[derive(Debug, Clone, Copy)]
enum Warmth {
    Cold { since: Duration, served: u32 },
    Warm,
}

/// The requests on the server, its warmth and its faults. Times count from the server's start.
#[derive(Debug)]
pub struct Model {
    options: Options,
    rng: fastrand::Rng,
    warmth: Warmth,
    draining: bool,
    fallen_until: Duration,
    next: u64,
    requests: BTreeMap<Ticket, Request>,
    waiting: VecDeque<Ticket>,
    running: usize,
    woken: Vec<Ticket>,
    reports: Reports,
    ledger: Ledger,
    /// The faults that are switched on.
    pub faults: Faults,
    /// Which reports mislead.
    pub mislead: Mislead,
}

impl Model {
    /// A server that just started.
    pub fn new(options: Options) -> Self {
        let warmth = match options.warm {
            true => Warmth::Warm,
            false => Warmth::Cold { since: Duration::ZERO, served: 0 },
        };
        let first = Load {
            slots: options.slots as u64,
            warm: options.warm.into(),
            boot: options.boot,
            ..Load::default()
        };
        let mut ledger = Ledger::default();
        ledger.counts.name.clone_from(&options.name);
        Self {
            rng: fastrand::Rng::with_seed(options.seed),
            reports: Reports::new(options.lag, first),
            options,
            warmth,
            draining: false,
            fallen_until: Duration::ZERO,
            next: 0,
            requests: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: 0,
            woken: Vec::new(),
            ledger,
            faults: Faults::default(),
            mislead: Mislead::default(),
        }
    }

    /// Takes a request in.
    pub fn arrive(&mut self, now: Duration, arrival: &Arrival<'_>) -> Admission {
        self.settle(now);
        self.ledger.counts.received += 1;
        if self.draining {
            self.ledger.while_draining(arrival.id);
            return self.shed("draining");
        }
        if now < self.fallen_until {
            return self.fail(arrival);
        }
        if self.faults.is_on(Fault::Fail, now) {
            self.fail(arrival);
            return Admission::Failed(Manner::Error);
        }
        let load = self.load_now() + 1;
        let cold_since = self.cold_since();
        if let Some(since) = cold_since
            && load > 1
        {
            self.ledger.load(load, true);
            self.ledger.overrun(Overrun::new(now, now.saturating_sub(since), load));
            self.fall(now);
            return self.fail(arrival);
        }
        if self.running >= self.options.slots && self.waiting.len() >= self.options.queue {
            return self.shed("shed");
        }
        self.ledger.load(load, cold_since.is_some());
        let ticket = self.enter(arrival);
        self.promote(now);
        self.record(now);
        Admission::Entered(ticket)
    }

    /// Where a request is. A ticket that is not known counts as lost.
    pub fn phase(&self, ticket: Ticket) -> Phase {
        self.requests.get(&ticket).map_or(Phase::Failed(Manner::Hangup), |request| request.phase)
    }

    /// Ends a request that did its work. Nothing is counted if it was lost meanwhile; one that still waits has been
    /// stopped.
    pub fn complete(&mut self, now: Duration, ticket: Ticket) {
        self.settle(now);
        let Some(request) = self.requests.get(&ticket) else { return };
        if !matches!(request.phase, Phase::Running(_)) {
            return self.stop(now, ticket);
        }
        self.ledger.complete(&request.id);
        if let Warmth::Cold { served, .. } = &mut self.warmth {
            *served += 1;
        }
        self.remove(now, ticket);
    }

    /// Ends a request that its sender or its deadline broke off, and frees its slot.
    pub fn stop(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if !matches!(request.phase, Phase::Failed(_)) {
            self.ledger.counts.stopped += 1;
        }
        self.remove(now, ticket);
    }

    /// Requests whose phase has changed since the last call, other than by their own arrival.
    pub fn take_woken(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.woken)
    }

    /// What happened since the last call and should be written down.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.ledger.take_events()
    }

    /// Refuses new work from now on.
    pub fn drain(&mut self, now: Duration) {
        self.draining = true;
        self.record(now);
    }

    /// Makes the server cold. What it runs goes on.
    pub fn chill(&mut self, now: Duration) {
        self.warmth = Warmth::Cold { since: now, served: 0 };
        self.record(now);
    }

    /// Whether no request is on the server.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether the server is cold.
    pub fn is_cold(&self) -> bool {
        self.cold_since().is_some()
    }

    /// The report on an answer.
    pub fn load(&mut self, now: Duration) -> Load {
        self.settle(now);
        let load = self.present();
        if self.mislead.answers { load.misleading() } else { load }
    }

    /// The report that answers a probe.
    pub fn probe(&mut self, now: Duration) -> Load {
        self.settle(now);
        self.ledger.counts.probes += 1;
        let load = self.reports.lagging(now);
        if self.mislead.probes { load.misleading() } else { load }
    }

    /// What ran.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests that run or wait. Lost ones, which have not been taken off yet, are no load.
    fn load_now(&self) -> usize {
        self.running + self.waiting.len()
    }

    fn present(&self) -> Load {
        Load {
            in_flight: self.load_now() as u64,
            slots: self.options.slots as u64,
            warm: (!self.is_cold()).into(),
            draining: self.draining.into(),
            boot: self.options.boot,
        }
    }

    fn record(&mut self, now: Duration) {
        let load = self.present();
        self.reports.record(now, load);
    }

    /// Turns warm if it is time.
    fn settle(&mut self, now: Duration) {
        let Warmth::Cold { since, served } = self.warmth else { return };
        let time = now.saturating_sub(since) >= self.options.warm_time;
        if time || served >= self.options.warm_requests {
            self.warmth = Warmth::Warm;
            self.record(now);
        }
    }

    fn cold_since(&self) -> Option<Duration> {
        match self.warmth {
            Warmth::Cold { since, .. } => Some(since),
            Warmth::Warm => None,
        }
    }

    fn enter(&mut self, arrival: &Arrival<'_>) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let request =
            Request { id: arrival.id.to_owned(), attempt: arrival.attempt, phase: Phase::Waiting };
        self.requests.insert(ticket, request);
        self.waiting.push_back(ticket);
        ticket
    }

    /// Starts waiting requests while slots are free.
    fn promote(&mut self, now: Duration) {
        while self.running < self.options.slots {
            let Some(ticket) = self.waiting.pop_front() else { return };
            let time = self.work_time(now);
            let Some(request) = self.requests.get_mut(&ticket) else { continue };
            request.phase = Phase::Running(time);
            self.running += 1;
            self.ledger.start(&request.id, request.attempt);
            self.woken.push(ticket);
        }
    }

    fn work_time(&mut self, now: Duration) -> Duration {
        let drawn = self.options.work.draw(&mut self.rng);
        let cold = if self.is_cold() { self.options.cold_factor } else { 1.0 };
        drawn.mul_f64(self.faults.slowness(now) * cold)
    }

    fn remove(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        match request.phase {
            Phase::Running(_) => self.running -= 1,
            Phase::Waiting => self.waiting.retain(|waiting| *waiting != ticket),
            Phase::Failed(_) => {}
        }
        self.promote(now);
        self.record(now);
    }

    /// Loses all requests and fails new ones for a while; then the server is cold.
    fn fall(&mut self, now: Duration) {
        for (ticket, request) in &mut self.requests {
            if matches!(request.phase, Phase::Failed(_)) {
                continue;
            }
            if request.phase == Phase::Waiting {
                self.ledger.start(&request.id, request.attempt);
            }
            self.ledger.counts.failed += 1;
            request.phase = Phase::Failed(draw_manner(&mut self.rng));
            self.woken.push(*ticket);
        }
        self.waiting.clear();
        self.running = 0;
        self.fallen_until = now + self.options.fall_time;
        self.warmth = Warmth::Cold { since: self.fallen_until, served: 0 };
        self.record(now);
    }

    fn fail(&mut self, arrival: &Arrival<'_>) -> Admission {
        self.ledger.start(arrival.id, arrival.attempt);
        self.ledger.counts.failed += 1;
        Admission::Failed(draw_manner(&mut self.rng))
    }

    fn shed(&mut self, reason: &'static str) -> Admission {
        self.ledger.counts.shed += 1;
        Admission::Shed(reason)
    }
}

fn draw_manner(rng: &mut fastrand::Rng) -> Manner {
    if rng.bool() { Manner::Error } else { Manner::Hangup }
}
