use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Router;
use crate::holder::pool::Lead;
use crate::holder::pool::Pool;
use crate::holder::port::Peer;
use crate::holder::port::Ports;
use crate::name;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Scouts per service, and so the number of peers asked for a vacancy at once. Each one asks its own
/// share of the peers, so that all holders of a small service are asked.
pub const VACANCY_POLLERS: usize = 8;

/// Longest wait for a vacancy at one peer, after which another peer may be asked.
const WAIT: Duration = Duration::from_millis(500);

/// Pause after a peer answered at once that it has no room, or could not be asked.
const PAUSE: Duration = Duration::from_millis(20);

impl<O: Ports> Router<O> {
    /// Looks for room at peers while requests wait for the service, until cancelled. `number` is the
    /// number of this scout, below [`VACANCY_POLLERS`].
    pub async fn poll_vacancies(&self, pool: &Pool, number: usize, cancel: &CancellationToken) {
        let search = async {
            loop {
                pool.demand().await;
                self.search(pool, number).await;
            }
        };
        tokio::select! {
            () = search => {}
            () = cancel.cancelled() => {}
        }
    }

    async fn search(&self, pool: &Pool, number: usize) {
        let start = self.clock().now();
        let service = pool.service();
        let mut holders = self.tables.peers.holders(service.as_str(), start);
        // The shares of the scouts must not depend on how much room the peers have.
        holders.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        let share = holders.len().saturating_sub(number).div_ceil(VACANCY_POLLERS);
        let turn = self.ports.random().below(share as u64) as usize;
        let free = match holders
            .get(number + turn * VACANCY_POLLERS)
            .and_then(|room| self.contact(&room.vm))
        {
            Some(holder) => self.ask(&holder, pool, start + WAIT).await,
            None => 0,
        };
        if free == 0 {
            // Without a peer to ask there is nothing to do before another one may hold servers.
            let pause = if share == 0 { WAIT } else { PAUSE };
            self.clock().sleep_until(start + pause).await;
        }
    }

    fn contact(&self, vm: &name::Vm) -> Option<Lead> {
        let address = self.tables.routes().endpoints(vm)?.control;
        Some(Lead { vm: vm.clone(), address })
    }

    async fn ask(&self, holder: &Lead, pool: &Pool, deadline: Instant) -> u32 {
        let free = self.ports.peer().vacancy(holder.address, pool.service(), deadline).await;
        for _ in 0..free {
            if !pool.lead(holder) {
                break;
            }
        }
        free
    }
}
