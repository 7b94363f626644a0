use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

/// What a server says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Load {
    /// Requests on the server, the answered one excluded.
    pub in_flight: u64,
    /// Requests that run at once.
    pub slots: u64,
    /// 1 if the server is warm.
    pub warm: u64,
    /// 1 if the server is on its way out.
    pub draining: u64,
    /// Identifies the process.
    pub boot: u64,
}

#[derive(Serialize)]
struct Document {
    named_metrics: Load,
}

impl Load {
    /// The report as an ORCA document in JSON.
    pub fn to_json(self) -> String {
        serde_json::to_string(&Document { named_metrics: self }).unwrap_or_default()
    }

    /// The report of a server that claims to be warm and idle.
    pub fn misleading(self) -> Self {
        Self { in_flight: 0, warm: 1, ..self }
    }
}

/// Which reports claim that the server is warm and idle, whatever is true.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mislead {
    /// Those that answer probes.
    pub probes: bool,
    /// Those on answers.
    pub answers: bool,
}

/// The recent states, for probes that see an old one.
#[derive(Debug)]
pub struct Reports {
    lag: Duration,
    history: VecDeque<(Duration, Load)>,
}

impl Reports {
    /// Keeps as much as needed to look back by `lag`.
    pub fn new(lag: Duration, first: Load) -> Self {
        Self { lag, history: VecDeque::from([(Duration::ZERO, first)]) }
    }

    /// Records the state from `now` on.
    pub fn record(&mut self, now: Duration, load: Load) {
        if self.history.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.history.push_back((now, load));
        let seen = now.saturating_sub(self.lag);
        // The newest state that is old enough stays, those before it can no longer be seen.
        while self.history.get(1).is_some_and(|(since, _)| *since <= seen) {
            self.history.pop_front();
        }
    }

    /// The state that a probe sees.
    pub fn lagging(&self, now: Duration) -> Load {
        let seen = now.saturating_sub(self.lag);
        let known = self.history.iter().rev().find(|(since, _)| *since <= seen);
        known.or(self.history.front()).map(|(_, load)| *load).unwrap_or_default()
    }
}
