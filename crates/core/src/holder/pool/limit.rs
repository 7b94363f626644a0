//! The concurrency limit of a server, adapted to its answers.

use std::time::Duration;

use super::load_report::LoadReport;
use crate::time::Instant;

/// An answer up to this latency never counts as slow: for a server that answers within a few
/// milliseconds, a multiple of its mean latency is ordinary queueing.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(50);

/// First back-off after a failure. It doubles with each further failure in a row.
const BACKOFF_BASE: Duration = Duration::from_millis(50);

/// Largest number of doublings of the back-off, which limits it to 3.2 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Error answers in a row that start a back-off. A single one may be caused by the request.
const ERRORS_BEFORE_BACKOFF: u32 = 3;

/// How long the newest report on an answer takes precedence over the reports of probes, which lag.
const MAX_PROBE_LAG: Duration = Duration::from_secs(1);

/// Divisor of the weight of a new sample in the moving average of the latency.
const LATENCY_SMOOTHING: u32 = 8;

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete answer that is not a server error.
    Answered,
    /// A complete answer with a server error.
    Failed,
    /// The server shed the request.
    Shed,
    /// No connection was made, or it closed before the request was sent.
    NotSent,
    /// The connection broke, or the answer was invalid.
    Broken,
    /// No complete answer before the deadline of the attempt.
    Timeout,
}

/// The result of an attempt, with its latency and load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// How the attempt ended.
    pub result: AttemptResult,
    /// Time from dispatch to the end of the attempt.
    pub latency: Duration,
    /// The load report that came with the answer, if any.
    pub report: Option<LoadReport>,
}

/// How far a server has warmed up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// Limited to one request, with the reason why it counts as cold.
    Cold(&'static str),
    /// Its limit grows with each run of normal answers.
    Warming,
    /// Its limit has reached the full limit since it was last cold.
    Warm,
}

/// A state change of a server, which is recorded on the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server became cold, for the given reason.
    Cold(&'static str),
    /// The server reached its full limit.
    Warm,
    /// The server reported that it is draining.
    Draining,
    /// The server reported that it is not draining any more.
    DrainEnded,
}

/// How a limit grows and when it is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitPolicy {
    /// Limit of a warm server, in requests.
    pub full_limit: u32,
    /// Normal answers in a row for each step of the limit.
    pub warm_after: u32,
    /// Multiple of the mean latency above which an answer counts as slow.
    pub cold_factor: u32,
}

/// How many requests a server may have in flight, derived from its answers and load reports.
///
/// A server starts with a limit of 1. Each run of `warm_after` normal answers raises the limit by
/// one, unless the latest report says that the server is cold. A slow answer, a failure or a report
/// of a cold server resets the limit to 1 at once; a request shed by a server that reports to be
/// warm halves it.
#[derive(Debug, Clone)]
pub struct Limit {
    policy: LimitPolicy,
    /// Limit outside of back-offs and drains, in requests.
    current: u32,
    warmth: Warmth,
    /// Normal answers since the limit last changed.
    normal_in_row: u32,
    /// Answers that the mean latency covers.
    latency_samples: u32,
    /// Moving average of the latency; zero before the first answer.
    latency: Duration,
    failures_in_row: u32,
    backoff_until: Instant,
    /// Identifies the server's process, from its latest report.
    boot: Option<u64>,
    /// Whether the latest report said that the server is warm.
    reported_warm: Option<bool>,
    /// When the latest report on an answer arrived.
    answer_report_at: Option<Instant>,
    /// When the latest report from an answer or a probe arrived.
    reported_at: Option<Instant>,
    draining: bool,
}

impl Limit {
    /// Creates the limit of a server about which nothing is known.
    pub fn new(policy: LimitPolicy) -> Self {
        Self {
            policy,
            current: 1,
            warmth: Warmth::Cold("unknown"),
            normal_in_row: 0,
            latency_samples: 0,
            latency: Duration::ZERO,
            failures_in_row: 0,
            backoff_until: Instant::default(),
            boot: None,
            reported_warm: None,
            answer_report_at: None,
            reported_at: None,
            draining: false,
        }
    }

    /// Applies a changed policy. A limit above the new full limit is lowered to it.
    pub fn set_policy(&mut self, policy: LimitPolicy) {
        self.policy = policy;
        self.current = self.current.min(policy.full_limit);
    }

    /// Number of requests that may be in flight at `now`; 0 during a back-off or a drain.
    pub fn current(&self, now: Instant) -> u32 {
        if self.draining || now < self.backoff_until { 0 } else { self.current }
    }

    /// How far the server has warmed up.
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Whether the latest report says that the server is draining.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// The mean latency; zero before the first answer.
    pub fn latency(&self) -> Duration {
        self.latency
    }

    /// When the latest report from an answer or a probe arrived.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }

    /// Applies the result of an attempt. Returns the state change that it causes, if any.
    pub fn observe(&mut self, now: Instant, sample: &Sample) -> Option<Change> {
        let from_report = sample.report.and_then(|report| self.apply_report(now, report));
        if sample.report.is_some() {
            self.answer_report_at = Some(now);
        }
        let from_result = match sample.result {
            AttemptResult::Answered => self.record_answered(sample.latency),
            AttemptResult::Failed => {
                self.record_failed(now, "error answers", ERRORS_BEFORE_BACKOFF)
            }
            AttemptResult::Shed => self.record_shed(),
            AttemptResult::NotSent => self.record_failed(now, "no connection", 1),
            AttemptResult::Broken => self.record_failed(now, "broken connection", 1),
            AttemptResult::Timeout => self.record_timeout(sample.latency),
        };
        from_report.or(from_result)
    }

    /// Applies a report from a probe. Returns the state change that it causes, if any.
    ///
    /// Reports of probes lag. Shortly after a report on an answer of the same process, a probe's
    /// "cold" is ignored if the latest report said "warm", and a probe's "not draining" is ignored
    /// if the latest report said "draining". A probe's "warm" does not raise the limit by itself.
    pub fn observe_probe(&mut self, now: Instant, report: LoadReport) -> Option<Change> {
        let recent = self.answer_report_at.is_some_and(|at| now.since(at) < MAX_PROBE_LAG);
        let turns_cold = self.reported_warm == Some(true) && !report.warm;
        let contradicted = recent && !report.draining && (turns_cold || self.draining);
        if contradicted && self.boot == Some(report.boot) {
            return None;
        }
        self.apply_report(now, report)
    }

    fn apply_report(&mut self, now: Instant, report: LoadReport) -> Option<Change> {
        self.reported_at = Some(now);
        let restarted = self.boot.is_some_and(|boot| boot != report.boot);
        self.boot = Some(report.boot);
        self.reported_warm = Some(report.warm);
        let was_draining = std::mem::replace(&mut self.draining, report.draining);
        let cold = match (restarted, report.warm) {
            (true, _) => self.record_restart(),
            (false, true) => None,
            (false, false) => self.set_cold("reports to be cold"),
        };
        match (was_draining, report.draining) {
            (false, true) => Some(Change::Draining),
            (true, false) => Some(Change::DrainEnded),
            _ => cold,
        }
    }

    fn record_restart(&mut self) -> Option<Change> {
        self.latency_samples = 0;
        self.set_cold("started again")
    }

    fn record_answered(&mut self, latency: Duration) -> Option<Change> {
        let slow = self.latency_known() && self.is_slow(latency);
        self.update_latency(latency);
        self.failures_in_row = 0;
        if slow {
            return self.set_cold("slow answer");
        }
        self.normal_in_row += 1;
        if self.normal_in_row < self.policy.warm_after || self.reported_warm == Some(false) {
            return None;
        }
        self.grow()
    }

    /// A timeout shorter than a slow answer is ignored: the caller may allow less time than the
    /// server usually takes, which says nothing about the server.
    fn record_timeout(&mut self, latency: Duration) -> Option<Change> {
        if self.latency_known() && !self.is_slow(latency) {
            return None;
        }
        self.set_cold("timeout")
    }

    /// Whether the mean latency covers enough answers to detect a slow one.
    fn latency_known(&self) -> bool {
        self.latency_samples >= self.policy.warm_after
    }

    fn is_slow(&self, latency: Duration) -> bool {
        latency > MIN_SLOW_LATENCY && latency > self.latency * self.policy.cold_factor
    }

    fn grow(&mut self) -> Option<Change> {
        self.normal_in_row = 0;
        self.current = (self.current + 1).min(self.policy.full_limit);
        let full = self.current == self.policy.full_limit;
        let next = if full { Warmth::Warm } else { Warmth::Warming };
        if self.warmth == Warmth::Warm || self.warmth == next {
            return None;
        }
        self.warmth = next;
        full.then_some(Change::Warm)
    }

    fn record_shed(&mut self) -> Option<Change> {
        self.normal_in_row = 0;
        self.current = (self.current / 2).max(1);
        match self.reported_warm {
            Some(true) => None,
            _ => self.set_cold("shed"),
        }
    }

    fn record_failed(
        &mut self,
        now: Instant,
        why: &'static str,
        before_backoff: u32,
    ) -> Option<Change> {
        self.failures_in_row += 1;
        if self.failures_in_row >= before_backoff {
            let doublings = (self.failures_in_row - before_backoff).min(MAX_BACKOFF_DOUBLINGS);
            self.backoff_until = now + BACKOFF_BASE * (1 << doublings);
        }
        self.set_cold(why)
    }

    fn set_cold(&mut self, why: &'static str) -> Option<Change> {
        self.normal_in_row = 0;
        self.current = 1;
        let was_cold = matches!(self.warmth, Warmth::Cold(_));
        self.warmth = Warmth::Cold(why);
        (!was_cold).then_some(Change::Cold(why))
    }

    fn update_latency(&mut self, latency: Duration) {
        self.latency_samples = self.latency_samples.saturating_add(1);
        if self.latency.is_zero() {
            self.latency = latency;
            return;
        }
        self.latency = (self.latency * (LATENCY_SMOOTHING - 1) + latency) / LATENCY_SMOOTHING;
    }
}
