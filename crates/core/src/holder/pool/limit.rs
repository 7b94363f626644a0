use std::time::Duration;

use super::load_report::LoadReport;
use crate::time::Instant;

/// An answer slower than this is needed before a slow answer counts as abnormal. Below it, a
/// multiple of a latency of a few milliseconds is ordinary queueing.
const SLOW_FLOOR: Duration = Duration::from_millis(50);

/// First pause after a failure. It doubles with each further one.
const REST_BASE: Duration = Duration::from_millis(50);

/// Doublings of the pause at most, which makes it 3.2 s.
const REST_DOUBLINGS: u32 = 6;

/// Error answers in a row before the server is given a pause. A single one may be about the request.
const ERRORS_BEFORE_REST: u32 = 3;

/// How long the newest report on an answer outweighs a probe, whose report lags.
const PROBE_LAG: Duration = Duration::from_secs(1);

/// Share of a new sample in the latency estimate, as a divisor.
const SMOOTHING: u32 = 8;

/// How an attempt ended, as far as the server's state is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A whole answer that is no server error.
    Answered,
    /// A whole answer with a server error.
    Failed,
    /// The server refused for lack of room.
    Shed,
    /// No connection.
    NotSent,
    /// The connection broke, or the answer was not whole.
    Broken,
    /// No answer in time.
    Timeout,
}

/// What an attempt showed about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// How the attempt ended.
    pub kind: Kind,
    /// Time from dispatch to the end of the attempt.
    pub latency: Duration,
    /// The report on the answer.
    pub report: Option<LoadReport>,
}

/// Whether a server can bear its full limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It may bear one request; the reason why it counts as cold.
    Cold(&'static str),
    /// Its limit grows.
    Warming,
    /// It has its full limit.
    Warm,
}

/// A change that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server counts as cold from now on, and why.
    Cold(&'static str),
    /// The server has its full limit.
    Warm,
    /// The server says that it is draining.
    Draining,
    /// The server no longer says that it is draining.
    Returned,
}

/// How fast a limit grows and how high.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// Limit of a warm server.
    pub full: u32,
    /// Normal answers in a row for each step of the limit.
    pub warm_after: u32,
    /// Multiple of the estimate above which an answer is abnormal.
    pub cold_factor: u32,
}

/// How many requests a server may have in flight, from what its answers show.
///
/// A server starts with a limit of 1. Each run of `warm_after` normal answers raises the limit by
/// one, the first step only once the server reports that it is warm. A sign of a cold server sets it
/// back to 1 at once; a refusal for lack of room by a server that reports to be warm halves it.
#[derive(Debug, Clone)]
pub struct Limit {
    tuning: Tuning,
    current: u32,
    warmth: Warmth,
    streak: u32,
    samples: u32,
    estimate: Duration,
    failures: u32,
    rest_until: Instant,
    boot: Option<u64>,
    warm_report: Option<bool>,
    answered_at: Option<Instant>,
    reported_at: Option<Instant>,
    draining: bool,
}

impl Limit {
    /// The limit of a server of which nothing is known.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            current: 1,
            warmth: Warmth::Cold("unknown"),
            streak: 0,
            samples: 0,
            estimate: Duration::ZERO,
            failures: 0,
            rest_until: Instant::default(),
            boot: None,
            warm_report: None,
            answered_at: None,
            reported_at: None,
            draining: false,
        }
    }

    /// Takes over changed tuning; a limit above the new full limit is lowered.
    pub fn tune(&mut self, tuning: Tuning) {
        self.tuning = tuning;
        self.current = self.current.min(tuning.full);
    }

    /// Requests that may be in flight at `now`.
    pub fn current(&self, now: Instant) -> u32 {
        if self.draining || now < self.rest_until { 0 } else { self.current }
    }

    /// Whether the server can bear its full limit.
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Whether the server says that it is draining.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// The usual latency; zero if none is known.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// When the newest report arrived.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }

    /// Takes over what an attempt showed.
    pub fn observe(&mut self, now: Instant, sample: &Sample) -> Option<Change> {
        let reported = sample.report.and_then(|report| self.read(now, report));
        if sample.report.is_some() {
            self.answered_at = Some(now);
        }
        let shown = match sample.kind {
            Kind::Answered => self.answered(sample.latency),
            Kind::Failed => self.failed(now, "error answers", ERRORS_BEFORE_REST),
            Kind::Shed => self.shed(),
            Kind::NotSent => self.failed(now, "no connection", 1),
            Kind::Broken => self.failed(now, "broken connection", 1),
            Kind::Timeout => self.timed_out(sample.latency),
        };
        reported.or(shown)
    }

    /// Takes over a report from a probe. Probes lag, so one that says "cold" is ignored while a
    /// recent answer said "warm", and one that does not say "draining" while a recent answer did. A
    /// probe that says "warm" shows nothing by itself.
    pub fn observe_probe(&mut self, now: Instant, report: LoadReport) -> Option<Change> {
        let recent = self.answered_at.is_some_and(|at| now.since(at) < PROBE_LAG);
        let cools = self.warm_report == Some(true) && !report.warm;
        let contradicted = recent && !report.draining && (cools || self.draining);
        if contradicted && self.boot == Some(report.boot) {
            return None;
        }
        self.read(now, report)
    }

    fn read(&mut self, now: Instant, report: LoadReport) -> Option<Change> {
        self.reported_at = Some(now);
        let restarted = self.boot.is_some_and(|boot| boot != report.boot);
        self.boot = Some(report.boot);
        self.warm_report = Some(report.warm);
        let was_draining = std::mem::replace(&mut self.draining, report.draining);
        let cold = match (restarted, report.warm) {
            (true, _) => self.restarted(),
            (false, true) => None,
            (false, false) => self.cold("reports to be cold"),
        };
        match (was_draining, report.draining) {
            (false, true) => Some(Change::Draining),
            (true, false) => Some(Change::Returned),
            _ => cold,
        }
    }

    fn restarted(&mut self) -> Option<Change> {
        self.samples = 0;
        self.cold("started again")
    }

    fn answered(&mut self, latency: Duration) -> Option<Change> {
        let slow = self.known() && self.is_slow(latency);
        self.smooth(latency);
        self.failures = 0;
        if slow {
            return self.cold("slow answer");
        }
        self.streak += 1;
        if self.streak < self.tuning.warm_after || self.warm_report == Some(false) {
            return None;
        }
        self.grow()
    }

    /// A caller may allow less time than the server usually takes, which shows nothing about the
    /// server.
    fn timed_out(&mut self, latency: Duration) -> Option<Change> {
        if self.known() && !self.is_slow(latency) {
            return None;
        }
        self.cold("timeout")
    }

    /// Whether enough answers came to tell a usual latency.
    fn known(&self) -> bool {
        self.samples >= self.tuning.warm_after
    }

    fn is_slow(&self, latency: Duration) -> bool {
        latency > SLOW_FLOOR && latency > self.estimate * self.tuning.cold_factor
    }

    fn grow(&mut self) -> Option<Change> {
        self.streak = 0;
        self.current = (self.current + 1).min(self.tuning.full);
        let full = self.current == self.tuning.full;
        let next = if full { Warmth::Warm } else { Warmth::Warming };
        if self.warmth == Warmth::Warm || self.warmth == next {
            return None;
        }
        self.warmth = next;
        full.then_some(Change::Warm)
    }

    fn shed(&mut self) -> Option<Change> {
        self.streak = 0;
        self.current = (self.current / 2).max(1);
        match self.warm_report {
            Some(true) => None,
            _ => self.cold("shed"),
        }
    }

    fn failed(&mut self, now: Instant, why: &'static str, before_rest: u32) -> Option<Change> {
        self.failures += 1;
        if self.failures >= before_rest {
            let doublings = (self.failures - before_rest).min(REST_DOUBLINGS);
            self.rest_until = now + REST_BASE * (1 << doublings);
        }
        self.cold(why)
    }

    fn cold(&mut self, why: &'static str) -> Option<Change> {
        self.streak = 0;
        self.current = 1;
        let was_cold = matches!(self.warmth, Warmth::Cold(_));
        self.warmth = Warmth::Cold(why);
        (!was_cold).then_some(Change::Cold(why))
    }

    fn smooth(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        if self.estimate.is_zero() {
            self.estimate = latency;
            return;
        }
        self.estimate = (self.estimate * (SMOOTHING - 1) + latency) / SMOOTHING;
    }
}
