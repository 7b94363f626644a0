//! Signals that arrive before the process can act on them.
//!
//! Until a handler is registered, SIGHUP and SIGTERM end a process at once. The handlers of the
//! runtime need the runtime, so these come first.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

/// What arrived.
#[derive(Debug)]
pub(super) struct Early {
    stop: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

impl Early {
    /// Catches the signals from now on.
    pub(super) fn catch() -> io::Result<Self> {
        let early = Self { stop: Arc::default(), hang_up: Arc::default() };
        flag::register(SIGTERM, early.stop.clone())?;
        flag::register(SIGINT, early.stop.clone())?;
        flag::register(SIGHUP, early.hang_up.clone())?;
        Ok(early)
    }

    /// Whether the process was told to stop.
    pub(super) fn stop(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Whether the settings file has changed.
    pub(super) fn hang_up(&self) -> bool {
        self.hang_up.load(Ordering::Acquire)
    }
}
