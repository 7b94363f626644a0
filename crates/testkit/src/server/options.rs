use std::time::Duration;

/// Work takes at most this multiple of the mean, so that one long draw does not decide a test.
const MAX_OF_MEAN: f64 = 20.0;

/// How long the work of a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Always the same.
    Fixed(Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

impl Work {
    /// Draws the time for one request.
    pub fn draw(self, rng: &mut fastrand::Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => {
                let factor = -(1.0 - rng.f64()).ln();
                mean.mul_f64(factor.min(MAX_OF_MEAN))
            }
        }
    }
}

/// How a server behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name in answers.
    pub name: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Time that work takes.
    pub work: Work,
    /// Multiple of it while the server is cold.
    pub cold_factor: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Whether the server starts warm.
    pub warm: bool,
    /// Requests after which a cold server is warm.
    pub warm_requests: u32,
    /// Time after which a cold server is warm.
    pub warm_time: Duration,
    /// Time for which a server that fell over fails everything.
    pub fall_time: Duration,
    /// Age of the state that probes see.
    pub lag: Duration,
    /// Identifies the process in reports; below 2^53, because reports are JSON numbers.
    pub boot: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "server".to_owned(),
            slots: 3,
            queue: 2,
            work: Work::Exponential(Duration::from_millis(5)),
            cold_factor: 1.0,
            seed: 1,
            warm: false,
            warm_requests: 10,
            warm_time: Duration::from_secs(10),
            fall_time: Duration::from_millis(500),
            lag: Duration::ZERO,
            boot: 1,
        }
    }
}
