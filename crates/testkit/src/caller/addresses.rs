use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// An address to send requests to, and its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: SocketAddr,
    /// Share of requests, relative to the other weights.
    pub weight: u64,
}

/// An entry's answer to an address lookup.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Addresses {
    addresses: Vec<Address>,
    ttl_ms: u64,
}

impl Addresses {
    /// Initial addresses with equal weights and a time to live of 0, so that they are replaced
    /// soon.
    pub fn with_equal_weights(addresses: &[SocketAddr]) -> Self {
        let with_weight = |address: &SocketAddr| Address { address: *address, weight: 1 };
        Self { addresses: addresses.iter().map(with_weight).collect(), ttl_ms: 0 }
    }

    /// Time for which the answer may be used.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// The addresses.
    pub fn all(&self) -> &[Address] {
        &self.addresses
    }

    /// Draws an address by weight; one of `tried` only if there is no other.
    pub fn pick(&self, tried: &[SocketAddr], rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        self.draw(|address| !tried.contains(&address.address), rng)
            .or_else(|| self.draw(|_| true, rng))
    }

    fn draw(
        &self,
        is_allowed: impl Fn(&Address) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        let candidates = || self.addresses.iter().filter(|address| is_allowed(address));
        let total: u64 = candidates().map(|address| address.weight).sum();
        if total == 0 {
            return candidates().next().map(|address| address.address);
        }
        let mut remaining = rng.u64(..total);
        for candidate in candidates() {
            match remaining.checked_sub(candidate.weight) {
                Some(rest) => remaining = rest,
                None => return Some(candidate.address),
            }
        }
        None
    }
}
