//! Search for room at peers while requests wait.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Router;
use crate::holder::pool::PeerEntry;
use crate::holder::pool::Pool;
use crate::holder::port::Peer;
use crate::holder::port::Ports;
use crate::name;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Number of vacancy pollers per service, which is the number of peers asked at once. Each poller
/// asks its own share of the peers, so that all holders of a small service are asked.
pub const VACANCY_POLLERS: usize = 8;

/// Longest wait for a vacancy at one peer, after which the poller may ask another one.
const VACANCY_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time from a request of a poller without success to the next one. A peer without room
/// may answer at once, or may be unreachable.
const NO_VACANCY_PAUSE: Duration = Duration::from_millis(20);

impl<O: Ports> Router<O> {
    /// Asks peers for vacancies while requests of the service wait, until cancelled. `number`
    /// identifies this poller and is below [`VACANCY_POLLERS`].
    pub async fn poll_vacancies(&self, pool: &Pool, number: usize, cancel: &CancellationToken) {
        let polling = async {
            loop {
                pool.wait_for_demand().await;
                self.poll_once(pool, number).await;
            }
        };
        tokio::select! {
            () = polling => {}
            () = cancel.cancelled() => {}
        }
    }

    /// Asks one random peer of this poller's share for a vacancy.
    async fn poll_once(&self, pool: &Pool, number: usize) {
        let start = self.clock().now();
        let service = pool.service();
        let mut holders = self.tables.peers.holders(service.as_str(), start);
        // Sorted by name, so that the shares of the pollers do not depend on the room of the peers.
        holders.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        let share = holders.len().saturating_sub(number).div_ceil(VACANCY_POLLERS);
        let index = self.ports.random().index(share);
        let free = match holders
            .get(number + index * VACANCY_POLLERS)
            .and_then(|holder| self.peer_entry(&holder.vm))
        {
            Some(holder) => self.request_vacancy(&holder, pool, start + VACANCY_TIMEOUT).await,
            None => 0,
        };
        if free == 0 {
            // Without a peer in its share, the poller waits until there may be one.
            let pause = if share == 0 { VACANCY_TIMEOUT } else { NO_VACANCY_PAUSE };
            self.clock().sleep_until(start + pause).await;
        }
    }

    fn peer_entry(&self, vm: &name::Vm) -> Option<PeerEntry> {
        let address = self.tables.routes().endpoints(vm)?.control;
        Some(PeerEntry { vm: vm.clone(), address })
    }

    /// Waits for a vacancy at `holder` and assigns it to waiting requests. Returns the number of
    /// requests for which the peer has room.
    async fn request_vacancy(&self, holder: &PeerEntry, pool: &Pool, deadline: Instant) -> u32 {
        let free = self.ports.peer().vacancy(holder.address, pool.service(), deadline).await;
        for _ in 0..free {
            if !pool.assign_peer(holder) {
                break;
            }
        }
        free
    }
}
