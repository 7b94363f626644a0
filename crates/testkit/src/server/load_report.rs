use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

/// A server's report on its load and its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct LoadReport {
    /// Requests that run or wait on the server, without the one being answered.
    pub in_flight: u64,
    /// Requests that can run concurrently.
    pub slots: u64,
    /// 1 if the server is warm, else 0.
    pub warm: u64,
    /// 1 if the server is draining, else 0.
    pub draining: u64,
    /// Identifies the process, so that a restart is noticed.
    pub boot: u64,
}

#[derive(Serialize)]
struct Document {
    named_metrics: LoadReport,
}

impl LoadReport {
    /// The report as an ORCA document in JSON.
    pub fn to_json(self) -> String {
        serde_json::to_string(&Document { named_metrics: self }).unwrap_or_default()
    }

    /// The same report with the false claim that the server is warm and idle.
    pub fn as_warm_and_idle(self) -> Self {
        Self { in_flight: 0, warm: 1, ..self }
    }
}

/// Which load reports claim that the server is warm and idle, whatever its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Misreporting {
    /// Reports in answers to probes.
    pub probes: bool,
    /// Reports in the headers of other answers.
    pub answers: bool,
}

/// Recent load reports, for probes that receive an outdated one.
#[derive(Debug)]
pub struct ReportHistory {
    lag: Duration,
    history: VecDeque<(Duration, LoadReport)>,
}

impl ReportHistory {
    /// A history that goes back by `lag`.
    pub fn new(lag: Duration, initial: LoadReport) -> Self {
        Self { lag, history: VecDeque::from([(Duration::ZERO, initial)]) }
    }

    /// Records the report that is true from `now` on.
    pub fn record(&mut self, now: Duration, report: LoadReport) {
        if self.history.back().is_some_and(|(_, last)| *last == report) {
            return;
        }
        self.history.push_back((now, report));
        let visible_at = now.saturating_sub(self.lag);
        // Keeps the newest report that is at least `lag` old and those after it; probes see no
        // older one.
        while self.history.get(1).is_some_and(|(since, _)| *since <= visible_at) {
            self.history.pop_front();
        }
    }

    /// The report that was true `lag` before `now`.
    pub fn delayed(&self, now: Duration) -> LoadReport {
        let visible_at = now.saturating_sub(self.lag);
        let visible = self.history.iter().rev().find(|(since, _)| *since <= visible_at);
        visible.or(self.history.front()).map(|(_, report)| *report).unwrap_or_default()
    }
}
