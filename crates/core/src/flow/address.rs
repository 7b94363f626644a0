use std::net::SocketAddr;
use std::time::Duration;

use super::Router;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::port::Peer;
use crate::port::Random;
use crate::port::Upstream;

/// An address that callers may use, with its share of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Address {
    /// Where the entry accepts requests of callers.
    pub address: SocketAddr,
    /// Share of the requests, relative to the other addresses.
    pub weight: u32,
}

/// The addresses for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// The addresses.
    pub addresses: Vec<Address>,
    /// How long callers may keep them.
    pub ttl: Duration,
}
