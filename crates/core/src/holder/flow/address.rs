use std::net::SocketAddr;
use std::time::Duration;

use super::Router;
use crate::holder::port::Ports;
use crate::outcome::Refusal;
use crate::port::Clock;

/// An address that callers may use, with its share of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedAddress {
    /// Where the entry accepts requests of callers.
    pub address: SocketAddr,
    /// Share of the requests, relative to the other addresses.
    pub weight: u32,
}

/// The addresses for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// The addresses.
    pub addresses: Vec<WeightedAddress>,
    /// How long callers may keep them.
    pub ttl: Duration,
}

impl<O: Ports> Router<O> {
    /// The entries that hold servers of the service, weighted by what they can take on. If none is
    /// known to hold any, all entries that take work, with equal weights.
    ///
    /// # Errors
    ///
    /// Why this entry cannot tell.
    pub fn addresses(&self, service: &str) -> Result<Addresses, Refusal> {
        let now = self.clock().now();
        self.tables.gate.check_admission(now)?;
        let routes = self.tables.routes();
        let route = routes.get(service).ok_or(Refusal::UnknownService)?;
        let peers = &self.tables.peers;
        let own = peers.own();
        let weigh =
            |vm, weight| Some(WeightedAddress { address: routes.endpoints(vm)?.caller, weight });
        let holding = peers.holders(service, now);
        let mut addresses: Vec<WeightedAddress> =
            holding.iter().filter_map(|room| weigh(&room.vm, room.limit)).collect();
        let held = route.pool().capacity(now).limit;
        let leaving = self.tables.gate.is_leaving();
        if held > 0 && !leaving {
            addresses.extend(weigh(own, held));
        }
        if addresses.is_empty() {
            let available = peers.all_available(now);
            let others = available.iter().filter(|vm| !leaving || *vm != own);
            addresses.extend(others.filter_map(|vm| weigh(vm, 1)));
        }
        Ok(Addresses { addresses, ttl: route.settings().policy.address_ttl })
    }

    /// Largest body of a request to the service, in bytes.
    ///
    /// # Errors
    ///
    /// Why this entry would refuse the request whatever its body.
    pub fn body_limit(&self, service: &str) -> Result<usize, Refusal> {
        self.tables.gate.check_admission(self.clock().now())?;
        let route = self.tables.routes().get(service).ok_or(Refusal::UnknownService)?;
        let limit = route.settings().policy.body_limit;
        Ok(usize::try_from(limit).unwrap_or(usize::MAX))
    }
}
