//! The retry budget of a service.
//!
//! Retries multiply the load when servers are already overloaded or failing. Each request earns a
//! fraction of a retry, so that retries stay a fixed part of the load however many requests fail.

/// Cost of a retry, in thousandths of a token. A burst of 1 allows one retry.
const MILLITOKENS_PER_RETRY: u64 = 1_000;

/// A token bucket for the retries of one service. It starts full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    /// Earned by each request, in thousandths of a token.
    earned_per_request: u64,
    /// Largest content, in thousandths of a token.
    capacity: u64,
    /// Current content, in thousandths of a token.
    millitokens: u64,
}

impl RetryBudget {
    /// Creates a full budget. Each request earns `permille` thousandths of a retry, up to `burst`
    /// retries in total.
    pub fn new(permille: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * MILLITOKENS_PER_RETRY;
        Self { earned_per_request: permille.into(), capacity, millitokens: capacity }
    }

    /// Applies a changed policy. The content of the budget is kept, up to the new burst.
    pub fn set_policy(&mut self, permille: u32, burst: u32) {
        self.earned_per_request = permille.into();
        self.capacity = u64::from(burst) * MILLITOKENS_PER_RETRY;
        self.millitokens = self.millitokens.min(self.capacity);
    }

    /// Adds what one admitted request earns. Retries earn nothing.
    pub fn earn(&mut self) {
        self.millitokens = self.capacity.min(self.millitokens + self.earned_per_request);
    }

    /// Takes one retry from the budget; false if it has none left.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.millitokens.checked_sub(MILLITOKENS_PER_RETRY) else {
            return false;
        };
        self.millitokens = rest;
        true
    }

    /// Number of retries that can be taken now.
    pub fn available(&self) -> u64 {
        self.millitokens / MILLITOKENS_PER_RETRY
    }
}
