//! One log line for each request that ended, and the metrics of requests.
//!
//! The lines are bounded: answers within a rate, so that writing them costs little under load, and
//! all other ends within a higher one. What was left out is counted and logged.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::metrics::Metrics;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;

/// Lines a second for requests that got a server's answer. At 250 bytes a line this is 10 KB a
/// second.
const ANSWERED_RATE: u32 = 40;

/// Lines a second for all other requests.
const FAILED_RATE: u32 = 80;

/// The period of the rates.
const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Second {
    began: Instant,
    answered: u32,
    failed: u32,
    left_out: u64,
}

/// Writes the lines.
#[derive(Debug)]
pub(super) struct Journal {
    metrics: Arc<Metrics>,
    second: Mutex<Second>,
}

/// A request that is being served. If it is dropped without an end, its caller has left.
pub(super) struct Entered<'a> {
    journal: &'a Journal,
    id: &'a str,
    route: &'a str,
    began: Instant,
    ended: bool,
}

impl Journal {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        let second = Second { began: Instant::now(), answered: 0, failed: 0, left_out: 0 };
        Self { metrics, second: Mutex::new(Rank::Telemetry, second) }
    }

    pub(super) fn enter<'a>(&'a self, id: &'a str, route: &'a str) -> Entered<'a> {
        self.metrics.in_flight.inc();
        Entered { journal: self, id, route, began: Instant::now(), ended: false }
    }

    /// A request that was refused before it was routed.
    pub(super) fn refused(&self, id: &str, refusal: Refusal) {
        self.metrics.refused.inc();
        if self.allowed(false) {
            log::warn!("event=request id={id} outcome=refused reason={refusal}");
        }
    }

    /// Whether a line may be written now.
    fn allowed(&self, answered: bool) -> bool {
        let (allowed, left_out) = self.second.lock().take(answered);
        if left_out > 0 {
            log::info!("event=log_limit requests_not_logged={left_out}");
        }
        allowed
    }

    fn line(&self, id: &str, route: &str, took: Duration, ended: &Completion) {
        let (outcome, reason) = match &ended.outcome {
            Outcome::Answered(answer) => ("answered", answer.status.to_string()),
            Outcome::Refused(refusal) => ("refused", refusal.to_string()),
            Outcome::Unknown(doubt) => ("unknown", doubt.to_string()),
        };
        let mut head = format!(
            "event=request id={id} route={route} outcome={outcome} reason={reason} took_ms={} \
             sends={} hedged={}",
            took.as_millis(),
            ended.sends,
            ended.hedged,
        );
        for (number, attempt) in ended.attempts.iter().enumerate() {
            head.push_str(if number == 0 { " tries=" } else { "," });
            head.push_str(&attempt.to_string());
        }
        if let Some(best) = ended.best_expected {
            head.push_str(&format!(" best_expected_ms={}", best.as_millis()));
        }
        let Some(pick) = &ended.last_pick else {
            log::info!("{head}");
            return;
        };
        let load =
            pick.report.load.map(|load| (load.running, load.waiting, load.slots, load.slowdown));
        log::info!(
            "{head} server={} load={load:?} cold_ms={} report_age_ms={} expected_ms={} chance={:.2}",
            pick.server,
            pick.report.cold_for.as_millis(),
            pick.report_age.as_millis(),
            pick.expected_time.as_millis(),
            pick.success_probability,
        );
    }
}

impl Second {
    fn take(&mut self, answered: bool) -> (bool, u64) {
        let mut left_out = 0;
        if self.began.elapsed() >= SECOND {
            left_out = self.left_out;
            *self = Self { began: Instant::now(), answered: 0, failed: 0, left_out: 0 };
        }
        let (count, rate) = match answered {
            true => (&mut self.answered, ANSWERED_RATE),
            false => (&mut self.failed, FAILED_RATE),
        };
        let allowed = *count < rate;
        *count += 1;
        if !allowed {
            self.left_out += 1;
        }
        (allowed, left_out)
    }
}

impl Entered<'_> {
    pub(super) fn end(mut self, took: Duration, ended: &Completion) {
        self.ended = true;
        let metrics = &self.journal.metrics;
        match &ended.outcome {
            Outcome::Answered(_) => metrics.answered.inc(),
            Outcome::Refused(_) => metrics.refused.inc(),
            Outcome::Unknown(_) => metrics.unknown.inc(),
        };
        metrics.latency.observe(took.as_secs_f64());
        if self.journal.allowed(matches!(ended.outcome, Outcome::Answered(_))) {
            self.journal.line(self.id, self.route, took, ended);
        }
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let metrics = &self.journal.metrics;
        metrics.in_flight.dec();
        if !self.ended {
            metrics.abandoned.inc();
            if self.journal.allowed(false) {
                log::info!(
                    "event=request id={} route={} outcome=given_up_by_caller took_ms={}",
                    self.id,
                    self.route,
                    self.began.elapsed().as_millis()
                );
            }
        }
    }
}
