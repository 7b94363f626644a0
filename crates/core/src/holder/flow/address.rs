//! Addresses of entries for callers of a service.

use std::net::SocketAddr;
use std::time::Duration;

use super::Router;
use crate::holder::port::Ports;
use crate::outcome::Refusal;
use crate::port::Clock;

/// The address of an entry for callers, with its share of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedAddress {
    /// Where the entry accepts requests of callers.
    pub address: SocketAddr,
    /// Share of the requests, relative to the other addresses.
    pub weight: u32,
}

/// The addresses of entries for callers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// The addresses.
    pub addresses: Vec<WeightedAddress>,
    /// How long callers may cache the addresses.
    pub ttl: Duration,
}

impl<O: Ports> Router<O> {
    /// The addresses of the entries that hold servers of the service, weighted by the limits of
    /// these servers. If no entry is known to hold any, the addresses of all entries that accept
    /// work, with equal weights.
    ///
    /// # Errors
    ///
    /// Why this entry cannot answer.
    pub fn addresses(&self, service: &str) -> Result<Addresses, Refusal> {
        let now = self.clock().now();
        self.tables.gate.check_admission(now)?;
        let routes = self.tables.routes();
        let route = routes.get(service).ok_or(Refusal::UnknownService)?;
        let peers = &self.tables.peers;
        let own = peers.own();
        let weighted =
            |vm, weight| Some(WeightedAddress { address: routes.endpoints(vm)?.caller, weight });
        let holders = peers.holders(service, now);
        let mut addresses: Vec<WeightedAddress> =
            holders.iter().filter_map(|holder| weighted(&holder.vm, holder.limit)).collect();
        let own_limit = route.pool().capacity(now).limit;
        let leaving = self.tables.gate.is_leaving();
        if own_limit > 0 && !leaving {
            addresses.extend(weighted(own, own_limit));
        }
        if addresses.is_empty() {
            let available = peers.all_available(now);
            let staying = available.iter().filter(|vm| !leaving || *vm != own);
            addresses.extend(staying.filter_map(|vm| weighted(vm, 1)));
        }
        Ok(Addresses { addresses, ttl: route.settings().policy.address_ttl })
    }

    /// Largest size of the body of a request to the service, in bytes.
    ///
    /// # Errors
    ///
    /// Why this entry refuses requests to the service regardless of their bodies.
    pub fn body_limit(&self, service: &str) -> Result<usize, Refusal> {
        self.tables.gate.check_admission(self.clock().now())?;
        let route = self.tables.routes().get(service).ok_or(Refusal::UnknownService)?;
        let limit = route.settings().policy.body_limit;
        Ok(usize::try_from(limit).unwrap_or(usize::MAX))
    }
}
