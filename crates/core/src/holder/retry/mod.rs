//! How many retries a service may cause.
//!
//! A retry multiplies the load when servers are already in trouble. Requests earn a fraction of a
//! retry each, so that retries stay a fixed part of the load however many requests fail.

/// Price of a retry and unit of the burst, in thousandths of a token.
const TOKEN: u64 = 1_000;

/// A token bucket for the retries of one service. It starts full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    /// Earned per request, in thousandths of a token.
    permille: u64,
    /// Largest amount saved up, in thousandths of a token.
    capacity: u64,
    /// Amount saved up, in thousandths of a token.
    saved: u64,
}

impl RetryBudget {
    /// Creates a full budget. Each request earns `permille` thousandths of a retry, and at most
    /// `burst` retries are saved up.
    pub fn new(permille: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * TOKEN;
        Self { permille: permille.into(), capacity, saved: capacity }
    }

    /// Applies a changed policy. What was saved is kept, up to the new burst.
    pub fn set_policy(&mut self, permille: u32, burst: u32) {
        self.permille = permille.into();
        self.capacity = u64::from(burst) * TOKEN;
        self.saved = self.saved.min(self.capacity);
    }

    /// Counts one admitted request. Retries of it are not counted.
    pub fn earn(&mut self) {
        self.saved = self.capacity.min(self.saved + self.permille);
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.saved.checked_sub(TOKEN) else {
            return false;
        };
        self.saved = rest;
        true
    }

    /// Whole retries that could be taken now.
    pub fn available(&self) -> u64 {
        self.saved / TOKEN
    }
}
