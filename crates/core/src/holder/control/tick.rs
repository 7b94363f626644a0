use std::time::Duration;

use super::Control;
use crate::holder::intent::ReadinessInput;
use crate::holder::port::Ports;
use crate::port::Clock;

/// Time between two ticks. A slot that stays taken for a while after its request ended (because the
/// server may still be running it) becomes free at the next tick at the latest.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

impl<O: Ports> Control<O> {
    /// Updates the state that depends on time, every [`TICK_INTERVAL`] and after each change of its
    /// inputs.
    pub(super) async fn run_ticks(&self) {
        loop {
            self.tick();
            let next = self.clock().now() + TICK_INTERVAL;
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.tick_needed.notified() => {}
            }
        }
    }

    /// Updates the peers, the routes, the gate and the queues.
    pub fn tick(&self) {
        let now = self.clock().now();
        let journal = self.journal();
        let tables = &self.tables;
        tables.peers.tick(now, &journal);
        self.reconcile();
        let input = ReadinessInput::collect(now, &tables.intent, &tables.peers);
        tables.gate.update(now, &input, &journal);
        for (_, route) in tables.routes().iter() {
            route.pool().assign_free(now);
        }
    }
}
