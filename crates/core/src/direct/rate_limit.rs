//! Rate limits that servers name while they can take few requests.

use quick_error::quick_error;

quick_error! {
    /// Why a number is no rate limit.
    #[derive(Debug, Clone, Copy, PartialEq)]
    pub enum Error {
        /// The number is negative, infinite or not a number.
        Rate(per_second: f64) {
            display("{} requests per second is no rate limit", per_second)
        }
    }
}

/// Requests per second that a server takes from all entries together; zero if it takes none.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Requests per second, finite and not negative.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Self, Error> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then_some(Self(per_second)).ok_or(Error::Rate(per_second))
    }
}
