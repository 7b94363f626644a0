//! Writes a log line for each request that has ended, and counts requests in the metrics.
//!
//! The lines are limited: answered requests to a rate at which writing them costs little under
//! load, and all other requests to a higher one. Refused requests have a limit of their own, so that
//! a few of them are logged beside many that end in another way. The number of requests that are not
//! logged is logged.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::metrics::Metrics;
use super::own_answer::OwnAnswer;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::outcome::Outcome;

/// Limit on the lines per second for requests with a server's answer. At 250 bytes per line this is
/// 10 KB per second.
const ANSWERED_LINES_PER_SECOND: u32 = 40;

/// Limit on the lines per second for refused requests.
const REFUSED_LINES_PER_SECOND: u32 = 40;

/// Limit on the lines per second for all other requests.
const FAILED_LINES_PER_SECOND: u32 = 40;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How a request ended, as far as the limits on lines distinguish it.
#[derive(Debug, Clone, Copy)]
enum LineKind {
    /// A server answered.
    Answered,
    /// It did not run.
    Refused,
    /// It may have run, or its caller left.
    Failed,
}

/// Counts the requests that ended in the current window.
#[derive(Debug)]
struct LineLimit {
    started: Instant,
    answered: u32,
    refused: u32,
    failed: u32,
    /// Requests that were not logged.
    not_logged: u64,
}

/// Logs and counts the requests of callers.
#[derive(Debug)]
pub(super) struct RequestLog {
    metrics: Arc<Metrics>,
    limit: Mutex<LineLimit>,
}

/// A request that is being served. If it is dropped before it has ended, its caller has abandoned
/// it.
pub(super) struct ActiveRequest<'a> {
    request_log: &'a RequestLog,
    id: &'a str,
    route: &'a str,
    /// The entry that passed the request on, if any.
    origin: Option<Ipv4Addr>,
    started: Instant,
    ended: bool,
}

impl RequestLog {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics, limit: Mutex::new(Rank::Telemetry, LineLimit::new()) }
    }

    /// Starts to count a request that has a route.
    pub(super) fn start<'a>(
        &'a self,
        id: &'a str,
        route: &'a str,
        origin: Option<Ipv4Addr>,
    ) -> ActiveRequest<'a> {
        self.metrics.in_flight.inc();
        if origin.is_some() {
            self.metrics.forwarded.inc();
        }
        ActiveRequest {
            request_log: self,
            id,
            route,
            origin,
            started: Instant::now(),
            ended: false,
        }
    }

    /// Counts and logs a request that the entry refuses before the dispatcher serves it.
    pub(super) fn refuse(&self, answer: &OwnAnswer<'_>) {
        self.metrics.refused.inc();
        self.record_own_answer(answer, LineKind::Refused, "refused");
    }

    /// Counts and logs an upload whose body could not be passed on. The dispatcher has counted how
    /// it ended.
    pub(super) fn cut_upload(&self, answer: &OwnAnswer<'_>) {
        self.record_own_answer(answer, LineKind::Failed, "unknown");
    }

    fn record_own_answer(&self, answer: &OwnAnswer<'_>, kind: LineKind, outcome: &str) {
        self.metrics.count_own_answer(answer.reason);
        if self.count_line(kind) {
            log::warn!("event=request id={} outcome={outcome} {answer}", answer.id);
        }
    }

    /// Counts a line, and returns whether it may be written.
    fn count_line(&self, kind: LineKind) -> bool {
        let (allowed, not_logged) = self.limit.lock().count(kind);
        if not_logged > 0 {
            log::info!("event=log_limit requests_not_logged={not_logged}");
        }
        allowed
    }

    /// Logs a request that the dispatcher served or refused.
    fn write_line(&self, request: &ActiveRequest<'_>, took: Duration, completion: &Completion) {
        let (id, route) = (request.id, request.route);
        let (outcome, reason) = match &completion.outcome {
            Outcome::Answered(answer) => ("answered", answer.status.to_string()),
            Outcome::Refused(refusal) => ("refused", refusal.to_string()),
            Outcome::Unknown(reason) => ("unknown", reason.to_string()),
        };
        let mut line = format!(
            "event=request id={id} route={route} outcome={outcome} reason={reason} took_ms={} \
             waited_ms={} sends={} hedged={}",
            took.as_millis(),
            completion.waited.as_millis(),
            completion.sends,
            completion.hedged,
        );
        for (number, attempt) in completion.attempts.iter().enumerate() {
            line.push_str(if number == 0 { " tries=" } else { "," });
            line.push_str(&attempt.to_string());
        }
        if let Some(entry) = request.origin {
            line.push_str(&format!(" from={entry}"));
        }
        for (number, forward) in completion.forwards.iter().enumerate() {
            line.push_str(if number == 0 { " via=" } else { "," });
            line.push_str(&forward.to_string());
        }
        if let Some(best) = completion.best_expected {
            line.push_str(&format!(" best_expected_ms={}", best.as_millis()));
        }
        let Some(pick) = &completion.last_pick else {
            log::info!("{line}");
            return;
        };
        let load =
            pick.report.load.map(|load| (load.running, load.waiting, load.slots, load.slowdown));
        if let Some(limit) = pick.rate_limit {
            line.push_str(&format!(" limit_per_s={}", limit.per_second()));
        }
        log::info!(
            "{line} server={} load={load:?} cold_ms={} report_age_ms={} expected_ms={} chance={:.2}",
            pick.server,
            pick.report.cold_for.as_millis(),
            pick.report_age.as_millis(),
            pick.expected_time.as_millis(),
            pick.success_probability,
        );
    }
}

impl LineLimit {
    fn new() -> Self {
        Self { started: Instant::now(), answered: 0, refused: 0, failed: 0, not_logged: 0 }
    }

    /// Counts a line. Returns whether it may be written, and when a new window starts, the number
    /// of requests that were not logged in the last one.
    fn count(&mut self, kind: LineKind) -> (bool, u64) {
        let mut not_logged = 0;
        if self.started.elapsed() >= WINDOW {
            not_logged = self.not_logged;
            *self = Self::new();
        }
        let (count, limit) = match kind {
            LineKind::Answered => (&mut self.answered, ANSWERED_LINES_PER_SECOND),
            LineKind::Refused => (&mut self.refused, REFUSED_LINES_PER_SECOND),
            LineKind::Failed => (&mut self.failed, FAILED_LINES_PER_SECOND),
        };
        let allowed = *count < limit;
        *count += 1;
        if !allowed {
            self.not_logged += 1;
        }
        (allowed, not_logged)
    }
}

impl ActiveRequest<'_> {
    /// Counts and logs the end of the request, which took the time `took`.
    pub(super) fn end(mut self, took: Duration, completion: &Completion) {
        self.ended = true;
        let metrics = &self.request_log.metrics;
        let (kind, counter) = match &completion.outcome {
            Outcome::Answered(_) => (LineKind::Answered, &metrics.answered),
            Outcome::Refused(_) => (LineKind::Refused, &metrics.refused),
            Outcome::Unknown(_) => (LineKind::Failed, &metrics.unknown),
        };
        counter.inc();
        metrics.latency.observe(took.as_secs_f64());
        if self.request_log.count_line(kind) {
            self.request_log.write_line(&self, took, completion);
        }
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        let metrics = &self.request_log.metrics;
        metrics.in_flight.dec();
        if !self.ended {
            metrics.abandoned.inc();
            if self.request_log.count_line(LineKind::Failed) {
                log::info!(
                    "event=request id={} route={} outcome=given_up_by_caller took_ms={}",
                    self.id,
                    self.route,
                    self.started.elapsed().as_millis()
                );
            }
        }
    }
}
