//! Adapters for the clock and the source of random numbers.
//!
//! Decisions use CLOCK_BOOTTIME, which counts the time a VM is suspended, so that a lease or a
//! deadline that passed meanwhile is seen as passed. Timers of tokio use CLOCK_MONOTONIC, which
//! stands still meanwhile: a timer can therefore end late by the time of the suspension, and waits
//! are cut into steps that each look at the clock again.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use jackdawpin_core::port;
use jackdawpin_core::time::Instant;

/// Longest single wait. After a suspension a wait ends at most this much late.
const MAX_STEP: Duration = Duration::from_millis(250);

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// The clock of this VM, including the time it is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl port::Clock for BootClock {
    fn now(&self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        // CLOCK_BOOTTIME starts at 0 when the VM boots, so neither part is negative.
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Instant::from_nanos(seconds.saturating_mul(NANOS_PER_SECOND).saturating_add(nanos))
    }

    fn wall_millis(&self) -> u64 {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    async fn sleep_until(&self, at: Instant) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(MAX_STEP)).await;
        }
    }
}

/// Random numbers from a generator per thread.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl port::Random for Random {
    fn below(&self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        fastrand::u64(..bound)
    }
}
