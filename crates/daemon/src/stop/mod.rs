//! The planned stop on a signal.
//!
//! The first SIGTERM or SIGINT cancels a token that all tasks observe. Further signals have no
//! effect, since a stop never interrupts a request; they are logged, so that an operator who sends
//! them sees that the stop is under way.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// The signals that begin a planned stop. Once this value exists, they no longer end the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Registers the signals.
    ///
    /// # Errors
    ///
    /// The operating system does not allow the registration of a signal handler.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Cancels `stop` on the first signal and logs further signals. Never returns.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let signal_name = tokio::select! {
                _ = self.terminate.recv() => "SIGTERM",
                _ = self.interrupt.recv() => "SIGINT",
            };
            if stop.is_cancelled() {
                log::warn!("{signal_name} ignored: the planned stop is under way");
                continue;
            }
            log::info!("{signal_name}: the planned stop begins");
            stop.cancel();
        }
    }
}
