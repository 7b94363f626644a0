//! Reloads the settings file while the process runs: on SIGHUP, and when the file has changed.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use super::Dispatcher;
use super::Error;
use jackdawpin_platform::settings::Settings;

/// Time between two checks whether the file has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// Reads the settings file at `path`.
///
/// # Errors
///
/// The file cannot be read, or is not valid.
pub(super) fn read_settings(path: &PathBuf) -> Result<Settings, Error> {
    let bytes = std::fs::read(path).map_err(|err| Error::File(path.display().to_string(), err))?;
    Ok(Settings::decode(&bytes)?)
}

/// Watches the settings file and applies its changes.
#[derive(Debug)]
pub(super) struct Reloader {
    dispatcher: Arc<Dispatcher>,
    path: PathBuf,
    sighup: Signal,
    /// Modification time at the last check; `None` if it could not be read.
    modified: Option<SystemTime>,
}

impl Reloader {
    /// Creates the reloader. From then on, SIGHUP no longer ends the process.
    ///
    /// # Errors
    ///
    /// The handler of SIGHUP cannot be registered.
    pub(super) fn new(dispatcher: Arc<Dispatcher>, path: PathBuf) -> Result<Self, Error> {
        let sighup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
        let modified = modified_at(&path);
        Ok(Self { dispatcher, path, sighup, modified })
    }

    /// Reloads the file until `cancel`.
    pub(super) async fn run(mut self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = cancel.cancelled() => return,
                _ = self.sighup.recv() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {
                    let modified = modified_at(&self.path);
                    if modified == self.modified {
                        continue;
                    }
                    self.modified = modified;
                }
            }
            self.apply();
        }
    }

    /// Reads the file and applies the settings that can change while the process runs: seeds and
    /// limits. The addresses of the listeners change only with a restart.
    pub(super) fn apply(&self) {
        match read_settings(&self.path) {
            Ok(settings) => {
                self.dispatcher.peers.set_seeds(settings.seeds);
                self.dispatcher.set_bounds(settings.bounds);
                log::info!("event=reload result=applied");
            }
            Err(err) => log::error!("event=reload result=kept_old_settings error=\"{err}\""),
        }
    }
}

/// The modification time of the file at `path`; `None`, with a line in the log, if it cannot be
/// read.
fn modified_at(path: &PathBuf) -> Option<SystemTime> {
    match std::fs::metadata(path).and_then(|metadata| metadata.modified()) {
        Ok(time) => Some(time),
        Err(err) => {
            log::warn!("event=reload error=\"{err}\"");
            None
        }
    }
}
