use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Event;
use super::Fault;
use super::Faults;
use super::Ledger;
use super::LoadReport;
use super::Misreporting;
use super::Options;
use super::Overrun;
use super::ReportHistory;

/// Identifies an admitted request on the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(u64);

/// A request that arrives.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// Number of the attempt.
    pub attempt: u32,
}

/// What happens to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs or waits for a slot; see [`Model::phase`].
    Accepted(Handle),
    /// It is declined without running, for this reason.
    Shed(&'static str),
    /// It fails without proof for its sender that it did not run.
    Failed(FailureKind),
}

/// How a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// With an answer of status 500.
    Error,
    /// The connection breaks.
    Hangup,
}

/// Progress of a request on the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs; its work takes this time.
    Running(Duration),
    /// It failed in an outage, or the handle is not known.
    Failed(FailureKind),
}

#[derive(Debug)]
struct Request {
    id: String,
    attempt: u32,
    phase: Phase,
}

#[derive(Debug, Clone, Copy)]
enum Warmth {
    Cold { since: Duration, completed: u32 },
    Warm,
}

/// The requests on the server, its warmth, its faults and its ledger. Times count from the server's
/// start.
#[derive(Debug)]
pub struct Model {
    options: Options,
    rng: fastrand::Rng,
    warmth: Warmth,
    draining: bool,
    outage_end: Duration,
    next_handle: u64,
    requests: BTreeMap<Handle, Request>,
    waiting: VecDeque<Handle>,
    running: usize,
    changed: Vec<Handle>,
    reports: ReportHistory,
    ledger: Ledger,
    /// The active faults.
    pub faults: Faults,
    /// Which load reports are false.
    pub misreporting: Misreporting,
}

impl Model {
    /// A server that just started.
    pub fn new(options: Options) -> Self {
        let warmth = match options.warm {
            true => Warmth::Warm,
            false => Warmth::Cold { since: Duration::ZERO, completed: 0 },
        };
        let initial = LoadReport {
            slots: options.slots as u64,
            warm: options.warm.into(),
            boot: options.boot,
            ..LoadReport::default()
        };
        let mut ledger = Ledger::default();
        ledger.counts.name.clone_from(&options.name);
        Self {
            rng: fastrand::Rng::with_seed(options.seed),
            reports: ReportHistory::new(options.probe_lag, initial),
            options,
            warmth,
            draining: false,
            outage_end: Duration::ZERO,
            next_handle: 0,
            requests: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: 0,
            changed: Vec::new(),
            ledger,
            faults: Faults::default(),
            misreporting: Misreporting::default(),
        }
    }

    /// Decides on a request that arrives: it runs, waits, is shed, or fails.
    pub fn admit(&mut self, now: Duration, arrival: &Arrival<'_>) -> Admission {
        self.update_warmth(now);
        self.ledger.counts.received += 1;
        if self.draining {
            self.ledger.record_while_draining(arrival.id);
            return self.shed("draining");
        }
        if now < self.outage_end {
            return self.fail_on_arrival(arrival);
        }
        if self.faults.is_active(Fault::Fail, now) {
            self.fail_on_arrival(arrival);
            return Admission::Failed(FailureKind::Error);
        }
        let load = self.request_count() + 1;
        let cold_since = self.cold_since();
        if let Some(since) = cold_since
            && load > 1
        {
            self.ledger.record_load(load, true);
            self.ledger.record_overrun(Overrun::new(now, now.saturating_sub(since), load));
            self.begin_outage(now);
            return self.fail_on_arrival(arrival);
        }
        if self.running >= self.options.slots && self.waiting.len() >= self.options.queue {
            return self.shed("shed");
        }
        self.ledger.record_load(load, cold_since.is_some());
        let handle = self.enqueue(arrival);
        self.fill_slots(now);
        self.record_report(now);
        Admission::Accepted(handle)
    }

    /// Progress of a request. An unknown handle counts as failed.
    pub fn phase(&self, handle: Handle) -> Phase {
        self.requests
            .get(&handle)
            .map_or(Phase::Failed(FailureKind::Hangup), |request| request.phase)
    }

    /// Ends a request whose work is done. A request that failed meanwhile is removed without being
    /// counted; one that still waits for a slot counts as cancelled.
    pub fn complete(&mut self, now: Duration, handle: Handle) {
        self.update_warmth(now);
        let Some(request) = self.requests.get(&handle) else { return };
        if !matches!(request.phase, Phase::Running(_)) {
            return self.cancel(now, handle);
        }
        self.ledger.record_completion(&request.id);
        if let Warmth::Cold { completed, .. } = &mut self.warmth {
            *completed += 1;
        }
        self.remove(now, handle);
    }

    /// Ends a request that was cancelled by its sender or at its deadline, and frees its slot.
    pub fn cancel(&mut self, now: Duration, handle: Handle) {
        let Some(request) = self.requests.get(&handle) else { return };
        if !matches!(request.phase, Phase::Failed(_)) {
            self.ledger.counts.stopped += 1;
        }
        self.remove(now, handle);
    }

    /// Requests whose phase has changed since the last call, including those that started to run
    /// when they arrived.
    pub fn take_changed(&mut self) -> Vec<Handle> {
        std::mem::take(&mut self.changed)
    }

    /// Events since the last call, for the journal.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.ledger.take_events()
    }

    /// Sheds all new requests from now on.
    pub fn drain(&mut self, now: Duration) {
        self.draining = true;
        self.record_report(now);
    }

    /// Makes the server cold. Running requests continue.
    pub fn make_cold(&mut self, now: Duration) {
        self.warmth = Warmth::Cold { since: now, completed: 0 };
        self.record_report(now);
    }

    /// Whether no request is on the server.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether the server is cold.
    pub fn is_cold(&self) -> bool {
        self.cold_since().is_some()
    }

    /// The load report for the header of an answer.
    pub fn answer_report(&mut self, now: Duration) -> LoadReport {
        self.update_warmth(now);
        let report = self.current_report();
        if self.misreporting.answers { report.as_warm_and_idle() } else { report }
    }

    /// The load report for the answer to a probe.
    pub fn probe_report(&mut self, now: Duration) -> LoadReport {
        self.update_warmth(now);
        self.ledger.counts.probes += 1;
        let report = self.reports.delayed(now);
        if self.misreporting.probes { report.as_warm_and_idle() } else { report }
    }

    /// The requests that ran, and the counts.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests that run or wait. Failed ones that have not been removed yet don't count.
    fn request_count(&self) -> usize {
        self.running + self.waiting.len()
    }

    fn current_report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.request_count() as u64,
            slots: self.options.slots as u64,
            warm: (!self.is_cold()).into(),
            draining: self.draining.into(),
            boot: self.options.boot,
        }
    }

    fn record_report(&mut self, now: Duration) {
        let report = self.current_report();
        self.reports.record(now, report);
    }

    /// Makes a cold server warm after enough time or enough completed requests.
    fn update_warmth(&mut self, now: Duration) {
        let Warmth::Cold { since, completed } = self.warmth else { return };
        let long_enough = now.saturating_sub(since) >= self.options.warm_time;
        if long_enough || completed >= self.options.warm_requests {
            self.warmth = Warmth::Warm;
            self.record_report(now);
        }
    }

    fn cold_since(&self) -> Option<Duration> {
        match self.warmth {
            Warmth::Cold { since, .. } => Some(since),
            Warmth::Warm => None,
        }
    }

    fn enqueue(&mut self, arrival: &Arrival<'_>) -> Handle {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let request =
            Request { id: arrival.id.to_owned(), attempt: arrival.attempt, phase: Phase::Waiting };
        self.requests.insert(handle, request);
        self.waiting.push_back(handle);
        handle
    }

    /// Starts waiting requests while slots are free.
    fn fill_slots(&mut self, now: Duration) {
        while self.running < self.options.slots {
            let Some(handle) = self.waiting.pop_front() else { return };
            let time = self.work_time(now);
            let Some(request) = self.requests.get_mut(&handle) else { continue };
            request.phase = Phase::Running(time);
            self.running += 1;
            self.ledger.record_start(&request.id, request.attempt);
            self.changed.push(handle);
        }
    }

    fn work_time(&mut self, now: Duration) -> Duration {
        let usual_time = self.options.work.draw(&mut self.rng);
        let cold_factor = if self.is_cold() { self.options.cold_factor } else { 1.0 };
        usual_time.mul_f64(self.faults.work_factor(now) * cold_factor)
    }

    fn remove(&mut self, now: Duration, handle: Handle) {
        let Some(request) = self.requests.remove(&handle) else { return };
        match request.phase {
            Phase::Running(_) => self.running -= 1,
            Phase::Waiting => self.waiting.retain(|waiting| *waiting != handle),
            Phase::Failed(_) => {}
        }
        self.fill_slots(now);
        self.record_report(now);
    }

    /// Fails all requests, and new ones until the end of the outage; then the server is cold.
    fn begin_outage(&mut self, now: Duration) {
        for (handle, request) in &mut self.requests {
            if matches!(request.phase, Phase::Failed(_)) {
                continue;
            }
            if request.phase == Phase::Waiting {
                self.ledger.record_start(&request.id, request.attempt);
            }
            self.ledger.counts.failed += 1;
            request.phase = Phase::Failed(draw_failure_kind(&mut self.rng));
            self.changed.push(*handle);
        }
        self.waiting.clear();
        self.running = 0;
        self.outage_end = now + self.options.outage_time;
        self.warmth = Warmth::Cold { since: self.outage_end, completed: 0 };
        self.record_report(now);
    }

    fn fail_on_arrival(&mut self, arrival: &Arrival<'_>) -> Admission {
        self.ledger.record_start(arrival.id, arrival.attempt);
        self.ledger.counts.failed += 1;
        Admission::Failed(draw_failure_kind(&mut self.rng))
    }

    fn shed(&mut self, reason: &'static str) -> Admission {
        self.ledger.counts.shed += 1;
        Admission::Shed(reason)
    }
}

fn draw_failure_kind(rng: &mut fastrand::Rng) -> FailureKind {
    if rng.bool() { FailureKind::Error } else { FailureKind::Hangup }
}
