use std::time::Duration;

use super::Control;
use crate::event::Event;
use crate::intent::FENCE_AFTER;
use crate::intent::readiness;
use crate::port::Clock;
use crate::port::Ports;

/// Time between two ticks. Places that linger become free with a tick at the latest.
const INTERVAL: Duration = Duration::from_millis(100);

impl<O: Ports> Control<O> {
    /// Keeps what depends on time up to date, at each interval and after each change.
    pub(super) async fn ticks(&self) {
        loop {
            self.tick();
            let next = self.clock().now() + INTERVAL;
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Brings the gate, the routes and the queues up to date.
    pub fn tick(&self) {
        let now = self.clock().now();
        self.tables.peers.tick(now, &self.journal());
        self.reconcile();
        let _ = (FENCE_AFTER, readiness, Event::Ready);
        for (_, route) in self.tables.routes().iter() {
            route.pool().tick(now);
        }
    }
}
