//! How much work slows down as the slots of a server fill up.

/// Number of steps into which occupancy is divided.
const STEPS: usize = 8;

/// Assumed factor on the time of work for each step, until answers show it. Many servers slow down
/// when more than about four fifths of their slots are in use.
const INITIAL_FACTORS: [f64; STEPS] = [1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.6, 1.6];

/// Weight of a new answer in the average of its step.
const ANSWER_WEIGHT: f64 = 0.05;

/// Range to which the factor of one answer is limited: a single delayed answer shows little.
const FACTOR_RANGE: (f64, f64) = (0.5, 4.0);

/// Factors on the time of work by occupancy, the fraction of the slots in use, learned from the
/// answers of all servers of a service.
#[derive(Debug)]
pub(super) struct Curve {
    factors: [f64; STEPS],
}

impl Default for Curve {
    fn default() -> Self {
        Self { factors: INITIAL_FACTORS }
    }
}

impl Curve {
    /// The factor at `occupancy`. It never falls as occupancy grows, and is at least 1.
    pub(super) fn factor(&self, occupancy: f64) -> f64 {
        self.factors[..=step(occupancy)].iter().copied().fold(1.0, f64::max)
    }

    /// Records an answer that took `factor` times the usual time at `occupancy`. Lower steps, some of
    /// which a server with few slots never has, are not slower than this one.
    pub(super) fn record(&mut self, occupancy: f64, factor: f64) {
        let (lower, rest) = self.factors.split_at_mut(step(occupancy));
        let average = &mut rest[0];
        let (least, most) = FACTOR_RANGE;
        *average += (factor.clamp(least, most) - *average) * ANSWER_WEIGHT;
        for factor in lower {
            *factor = factor.min(*average);
        }
    }
}

/// The step that ends at or above `occupancy`; the last one if all slots are in use.
fn step(occupancy: f64) -> usize {
    // The cast saturates, so a negative or undefined occupancy gives the first step.
    let index = (occupancy * STEPS as f64).ceil() as usize;
    index.saturating_sub(1).min(STEPS - 1)
}
