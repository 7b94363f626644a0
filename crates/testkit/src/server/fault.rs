use std::time::Duration;

/// A way to misbehave, each for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Work takes longer.
    Slow,
    /// New requests fail at once.
    Fail,
    /// Nothing is answered.
    Silent,
    /// Answers declare more bytes than they have.
    Cut,
    /// Answers carry another request's id.
    WrongId,
}

/// The faults that are switched on.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    ends: [Duration; 5],
    slow_factor: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { ends: [Duration::ZERO; 5], slow_factor: 1.0 }
    }
}

impl Faults {
    /// Switches a fault on until `end`.
    pub fn set(&mut self, fault: Fault, end: Duration) {
        self.ends[fault as usize] = end;
    }

    /// Makes work take `factor` times as long until `end`.
    pub fn set_slow(&mut self, factor: f64, end: Duration) {
        self.slow_factor = factor.max(0.0);
        self.set(Fault::Slow, end);
    }

    /// Whether a fault is on.
    pub fn is_on(&self, fault: Fault, now: Duration) -> bool {
        now < self.ends[fault as usize]
    }

    /// Time until a fault ends, if it is on.
    pub fn left(&self, fault: Fault, now: Duration) -> Option<Duration> {
        self.ends[fault as usize].checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Factor on the time of work that starts now.
    pub fn slowness(&self, now: Duration) -> f64 {
        if self.is_on(Fault::Slow, now) { self.slow_factor } else { 1.0 }
    }
}
