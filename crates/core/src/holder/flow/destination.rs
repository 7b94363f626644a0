//! Choice of the server or the peer for the next attempt.

use std::time::Duration;

use super::Route;
use super::Router;
use super::Stats;
use crate::holder::pool::Destination;
use crate::holder::pool::PeerEntry;
use crate::holder::port::Ports;
use crate::name;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::request::Request;
use crate::time::Instant;

/// Number of forwards refused for lack of room after which a request waits in the queue and is no
/// longer forwarded by the room that peers report in their heartbeats.
const MAX_REFUSED_FORWARDS: u32 = 2;

/// Divisor of the time left, which gives the margin before its deadline at which a waiting request
/// is refused, so that the caller receives the refusal before its own timeout.
const REFUSAL_MARGIN_DIVISOR: u32 = 20;

/// Largest margin before its deadline at which a waiting request is refused.
const MAX_REFUSAL_MARGIN: Duration = Duration::from_millis(20);

impl<O: Ports> Router<O> {
    /// Finds a destination for the next attempt, and waits in the queue if there is none.
    pub(super) async fn find_destination(
        &self,
        route: &Route,
        request: &Request,
        refused_forwards: u32,
        stats: &mut Stats,
    ) -> Result<Destination, Refusal> {
        let now = self.clock().now();
        if now >= request.deadline {
            return Err(Refusal::Deadline);
        }
        if let Some(permit) = route.pool().acquire(now, request.idempotent) {
            return Ok(Destination::Server(permit));
        }
        if refused_forwards < MAX_REFUSED_FORWARDS
            && let Some(peer) = self.best_peer(now, &request.service)
        {
            return Ok(Destination::Peer(peer));
        }
        let destination = self.wait_in_queue(route, request, now).await;
        stats.queue_time += self.clock().now().since(now);
        destination
    }

    /// The peer that reports most room for the service, whose reported room is reduced by one
    /// request.
    fn best_peer(&self, now: Instant, service: &name::Service) -> Option<PeerEntry> {
        let routes = self.tables.routes();
        let holders = self.tables.peers.with_free_slots(service.as_str(), now);
        let peer = holders.into_iter().find_map(|holder| {
            let address = routes.endpoints(&holder.vm)?.control;
            Some(PeerEntry { vm: holder.vm, address })
        })?;
        self.tables.peers.take_free_slot(&peer.vm, service);
        Some(peer)
    }

    /// Waits in the queue of the service for a destination, until shortly before the deadline.
    async fn wait_in_queue(
        &self,
        route: &Route,
        request: &Request,
        now: Instant,
    ) -> Result<Destination, Refusal> {
        let queue_limit = route.settings().policy.queue;
        let mut ticket =
            route.pool().enqueue(now, request.idempotent, queue_limit).ok_or(Refusal::QueueFull)?;
        let left = request.deadline.since(now);
        let margin = (left / REFUSAL_MARGIN_DIVISOR).min(MAX_REFUSAL_MARGIN);
        tokio::select! {
            destination = ticket.wait() => destination.ok_or(Refusal::NoServer),
            () = self.clock().sleep_until(request.deadline.before(margin)) => {
                Err(Refusal::Deadline)
            }
        }
    }
}
