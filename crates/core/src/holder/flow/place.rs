use std::time::Duration;

use super::Route;
use super::Router;
use super::Stats;
use crate::holder::pool::Lead;
use crate::holder::pool::Place;
use crate::holder::port::Ports;
use crate::name;
use crate::outcome::Refusal;
use crate::port::Clock;
use crate::request::Request;
use crate::time::Instant;

/// Forwards that peers may refuse for lack of room before the request only waits for a notice.
const MAX_MISSES: u32 = 2;

/// Share of the time left, as a divisor, that a waiting request is refused before its deadline, so
/// that the caller gets the refusal and not its own timeout.
const REFUSE_EARLY: u32 = 20;

/// Longest time by which a request is refused before its deadline.
const MAX_REFUSE_EARLY: Duration = Duration::from_millis(20);

impl<O: Ports> Router<O> {
    /// Finds a place for the next attempt, and waits for one if need be.
    pub(super) async fn place(
        &self,
        route: &Route,
        request: &Request,
        misses: u32,
        stats: &mut Stats,
    ) -> Result<Place, Refusal> {
        let now = self.clock().now();
        if now >= request.deadline {
            return Err(Refusal::Deadline);
        }
        if let Some(permit) = route.pool().acquire(now, request.idempotent) {
            return Ok(Place::Local(permit));
        }
        if misses < MAX_MISSES
            && let Some(lead) = self.lead(now, &request.service)
        {
            return Ok(Place::Remote(lead));
        }
        let place = self.wait(route, request, now).await;
        stats.queue_time += self.clock().now().since(now);
        place
    }

    /// The peer that reports most room for the service.
    fn lead(&self, now: Instant, service: &name::Service) -> Option<Lead> {
        let routes = self.tables.routes();
        let rooms = self.tables.peers.with_free_slots(service.as_str(), now);
        let lead = rooms.into_iter().find_map(|room| {
            let address = routes.endpoints(&room.vm)?.control;
            Some(Lead { vm: room.vm, address })
        })?;
        self.tables.peers.take_free_slot(&lead.vm, service);
        Some(lead)
    }

    async fn wait(&self, route: &Route, request: &Request, now: Instant) -> Result<Place, Refusal> {
        let queue = route.settings().policy.queue;
        let mut ticket =
            route.pool().wait(now, request.idempotent, queue).ok_or(Refusal::QueueFull)?;
        let left = request.deadline.since(now);
        let early = (left / REFUSE_EARLY).min(MAX_REFUSE_EARLY);
        tokio::select! {
            place = ticket.place() => place.ok_or(Refusal::NoServer),
            () = self.clock().sleep_until(request.deadline.before(early)) => Err(Refusal::Deadline),
        }
    }
}
