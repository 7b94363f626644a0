use std::time::Duration;

use super::Stamp;

/// Largest lead of a received stamp over the wall clock of this process; a stamp further ahead is
/// ignored. It is larger than the error of any synchronised wall clock. Without a bound, one broken
/// clock would advance the stamps of all processes.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// A hybrid logical clock. Each stamp that it issues is later than all stamps that it issued or
/// received before.
///
/// Wall time is an argument in milliseconds since the Unix epoch. It may go back or jump; stamps
/// never go back.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Creates a clock that has issued no stamp.
    pub const fn new() -> Self {
        Self { last: Stamp { millis: 0, counter: 0 } }
    }

    /// Issues the stamp of an event in this process or of a message to be sent. It is later than
    /// all stamps before it.
    pub fn local(&mut self, wall_millis: u64) -> Stamp {
        let wall = Stamp { millis: wall_millis, counter: 0 };
        self.last = wall.max(successor(self.last));
        self.last
    }

    /// Merges the stamp of a received message and issues the stamp of its receipt, which is later
    /// than the message and all stamps before it.
    ///
    /// A remote stamp more than [`MAX_CLOCK_LEAD`] ahead of the wall clock is ignored; the receipt
    /// may then have an earlier stamp than the message.
    pub fn receive(&mut self, wall_millis: u64, remote: Stamp) -> Stamp {
        let latest_millis = wall_millis.saturating_add(MAX_CLOCK_LEAD.as_secs() * 1000);
        if remote.millis <= latest_millis {
            self.last = self.last.max(remote);
        }
        self.local(wall_millis)
    }
}

/// The next stamp. A full counter carries into the milliseconds; the largest stamp is its own
/// successor.
fn successor(stamp: Stamp) -> Stamp {
    match stamp.counter.checked_add(1) {
        Some(counter) => Stamp { counter, ..stamp },
        None => match stamp.millis.checked_add(1) {
            Some(millis) => Stamp { millis, counter: 0 },
            None => stamp,
        },
    }
}
