//! Adapters for the clock and the source of random numbers.
//!
//! Decisions use CLOCK_BOOTTIME, which includes the time a VM is suspended, so that a lease or a
//! deadline that passes during a suspension counts as passed. Tokio's timers use CLOCK_MONOTONIC,
//! which excludes that time, so a timer can fire late by the length of a suspension. Waits are
//! therefore split into steps, and the clock is read again after each step.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use jackdawpin_core::port;
use jackdawpin_core::time::Instant;

/// Longest step of a wait, and so the longest delay of its end after a suspension.
const MAX_SLEEP_STEP: Duration = Duration::from_millis(250);

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// CLOCK_BOOTTIME of this VM.
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
        let since_epoch =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }

    async fn sleep_until(&self, at: Instant) {
        loop {
            let remaining = at.since(self.now());
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining.min(MAX_SLEEP_STEP)).await;
        }
    }
}

/// Random numbers from a separate generator for each thread.
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
