use std::time::Duration;

use super::Control;
use crate::holder::intent::ReadinessInput;
use crate::holder::port::Ports;
use crate::port::Clock;

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
        let journal = self.journal();
        let tables = &self.tables;
        tables.peers.tick(now, &journal);
        self.reconcile();
        let evidence = ReadinessInput::collect(now, &tables.intent, &tables.peers);
        tables.gate.update(now, &evidence, &journal);
        for (_, route) in tables.routes().iter() {
            route.pool().assign_free(now);
        }
    }
}
