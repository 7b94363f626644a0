use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// An address of an entry and its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Address {
    /// Where to send requests.
    pub address: SocketAddr,
    /// Share of requests, relative to the other weights.
    pub weight: u64,
}

/// An entry's answer to the question for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Addresses {
    addresses: Vec<Address>,
    ttl_ms: u64,
}

impl Addresses {
    /// Addresses to start with, all of the same weight, which are replaced at once.
    pub fn with_equal_weights(addresses: &[SocketAddr]) -> Self {
        let weigh = |address: &SocketAddr| Address { address: *address, weight: 1 };
        Self { addresses: addresses.iter().map(weigh).collect(), ttl_ms: 0 }
    }

    /// How long the answer may be kept.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// The addresses.
    pub fn all(&self) -> &[Address] {
        &self.addresses
    }

    /// Draws an address by weight, but none of `tried` as long as there is another one.
    pub fn pick(&self, tried: &[SocketAddr], rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        self.draw(|address| !tried.contains(&address.address), rng)
            .or_else(|| self.draw(|_| true, rng))
    }

    fn draw(
        &self,
        allowed: impl Fn(&Address) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        let candidates = || self.addresses.iter().filter(|address| allowed(address));
        let total: u64 = candidates().map(|address| address.weight).sum();
        if total == 0 {
            return candidates().next().map(|address| address.address);
        }
        let mut left = rng.u64(..total);
        for candidate in candidates() {
            match left.checked_sub(candidate.weight) {
                Some(rest) => left = rest,
                None => return Some(candidate.address),
            }
        }
        None
    }
}
