//! The planned stop on a signal.
//!
//! The first SIGTERM or SIGINT cancels a token, which all tasks watch. Further signals change
//! nothing, since a stop never interrupts a request; they are logged, so that an operator who sends
//! them sees that the stop is under way.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// The signals that begin a planned stop. From its creation on, they no longer end the process.
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
    /// The system refuses to register a signal.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Cancels `stop` on the first signal and logs further ones. Never returns.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let name = tokio::select! {
                _ = self.terminate.recv() => "SIGTERM",
                _ = self.interrupt.recv() => "SIGINT",
            };
            if stop.is_cancelled() {
                log::warn!("{name} ignored: the planned stop is under way");
                continue;
            }
            log::info!("{name}: the planned stop begins");
            stop.cancel();
        }
    }
}
