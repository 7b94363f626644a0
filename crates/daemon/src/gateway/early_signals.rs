//! Signals that arrive while the process starts.
//!
//! Until a handler is registered, SIGHUP and SIGTERM end a process at once. The handlers of the
//! runtime need the runtime, so these are registered first. They record the signals until the
//! process can act on them.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

/// Records the signals that arrive during the start.
#[derive(Debug)]
pub(super) struct EarlySignals {
    stop_requested: Arc<AtomicBool>,
    reload_requested: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Registers the handlers.
    ///
    /// # Errors
    ///
    /// A handler cannot be registered.
    pub(super) fn register() -> io::Result<Self> {
        let signals = Self { stop_requested: Arc::default(), reload_requested: Arc::default() };
        flag::register(SIGTERM, signals.stop_requested.clone())?;
        flag::register(SIGINT, signals.stop_requested.clone())?;
        flag::register(SIGHUP, signals.reload_requested.clone())?;
        Ok(signals)
    }

    /// Whether SIGTERM or SIGINT arrived.
    pub(super) fn stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Acquire)
    }

    /// Whether SIGHUP arrived, which asks for a reload of the settings file.
    pub(super) fn reload_requested(&self) -> bool {
        self.reload_requested.load(Ordering::Acquire)
    }
}
