use std::time::Duration;

use super::Stamp;

/// How far a stamp of another process may be ahead of this process's wall clock and still be taken
/// over. Larger than the error of any synchronised wall clock; without a bound, one broken clock
/// would move the stamps of all processes.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// A hybrid logical clock: gives each event a stamp later than all stamps given or received before
/// it.
///
/// Wall time is an argument in milliseconds since the Unix epoch. It may go back or jump; stamps
/// never go back.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Creates a clock that has given no stamp.
    pub const fn new() -> Self {
        Self { last: Stamp { millis: 0, counter: 0 } }
    }

    /// Gives the stamp of an event in this process, or of a message to be sent. It is later than
    /// all stamps before it.
    pub fn local(&mut self, wall_millis: u64) -> Stamp {
        let wall = Stamp { millis: wall_millis, counter: 0 };
        self.last = wall.max(successor(self.last));
        self.last
    }

    /// Takes over the stamp of a received message and gives the stamp of its receipt, which is
    /// later than both.
    ///
    /// A remote stamp more than [`MAX_CLOCK_LEAD`] ahead of the wall clock is not taken over; the
    /// receipt may then have an earlier stamp than the message.
    pub fn receive(&mut self, wall_millis: u64, remote: Stamp) -> Stamp {
        let bound = wall_millis.saturating_add(MAX_CLOCK_LEAD.as_secs() * 1000);
        if remote.millis <= bound {
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
