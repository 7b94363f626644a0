use std::time::Duration;

/// A fault that a test injects for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Work takes longer.
    Slow,
    /// New requests fail immediately with status 500.
    Fail,
    /// Nothing is answered, probes included.
    Silent,
    /// Answers declare more bytes than they contain.
    Truncate,
    /// Answers carry another request's id.
    WrongId,
}

/// The active faults, each with its end. Times count from the server's start.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// End of each fault, indexed by [`Fault`].
    end_times: [Duration; 5],
    slow_factor: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { end_times: [Duration::ZERO; 5], slow_factor: 1.0 }
    }
}

impl Faults {
    /// Injects a fault until `end`.
    pub fn set(&mut self, fault: Fault, end: Duration) {
        self.end_times[fault as usize] = end;
    }

    /// Makes work take `factor` times as long until `end`.
    pub fn set_slowdown(&mut self, factor: f64, end: Duration) {
        self.slow_factor = factor.max(0.0);
        self.set(Fault::Slow, end);
    }

    /// Whether a fault is active.
    pub fn is_active(&self, fault: Fault, now: Duration) -> bool {
        now < self.end_times[fault as usize]
    }

    /// Time until a fault ends, if it is active.
    pub fn remaining(&self, fault: Fault, now: Duration) -> Option<Duration> {
        self.end_times[fault as usize].checked_sub(now).filter(|remaining| !remaining.is_zero())
    }

    /// Factor on the duration of work that starts now.
    pub fn work_factor(&self, now: Duration) -> f64 {
        if self.is_active(Fault::Slow, now) { self.slow_factor } else { 1.0 }
    }
}
