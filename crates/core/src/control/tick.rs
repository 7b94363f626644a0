use std::time::Duration;

use super::Control;
use crate::event::Event;
use crate::port::Clock;
use crate::port::Ports;
use crate::time::Instant;

/// Time between two ticks. Places that linger become free with a tick at the latest.
const INTERVAL: Duration = Duration::from_millis(100);

/// Age from which what this entry has heard is too old to know the operators' intent.
pub const FENCE_AFTER: Duration = Duration::from_secs(5);

/// How long a new process waits for peers that do not answer.
pub const JOIN_WAIT: Duration = Duration::from_secs(3);

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
        self.fence(now);
        self.join(now);
        for (_, route) in self.tables.routes().iter() {
            route.pool().tick(now);
        }
    }

    fn fence(&self, now: Instant) {
        let gate = &self.tables.gate;
        let contact = self.tables.peers.contact();
        let platform = self.tables.intent.platform();
        let heard = match contact.others {
            0 => platform.answered,
            _ => platform.current.max(contact.most_heard),
        };
        if let Some(heard) = heard {
            gate.set_fresh_until(heard + FENCE_AFTER);
        }
        if let Some(fenced) = gate.fence_change(now) {
            self.record(if fenced { Event::Fenced } else { Event::Unfenced });
        }
    }

    fn join(&self, now: Instant) {
        let gate = &self.tables.gate;
        if gate.is_ready() || self.tables.intent.snapshot().is_none() {
            return;
        }
        let contact = self.tables.peers.contact();
        let met = contact.met * 2 > contact.others || contact.others == 0;
        let tried = contact.untried == 0 && now.since(self.start) >= JOIN_WAIT;
        if met || tried {
            gate.set_ready();
            self.record(Event::Ready);
        }
    }
}
