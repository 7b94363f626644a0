//! Settings that change while the process runs, with a signal or without one.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use super::Error;
use super::Flow;
use jackdawpin_platform::settings::Settings;

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(1_500);

/// Reads the file at `path`.
pub(super) fn read(path: &PathBuf) -> Result<Settings, Error> {
    let bytes = std::fs::read(path).map_err(|err| Error::File(path.display().to_string(), err))?;
    Ok(Settings::decode(&bytes)?)
}

/// Watches the file.
#[derive(Debug)]
pub(super) struct Reload {
    flow: Arc<Flow>,
    path: PathBuf,
    hang_up: Signal,
    seen: Option<SystemTime>,
}

impl Reload {
    /// Starts to receive SIGHUP, which from then on no longer ends the process.
    pub(super) fn new(flow: Arc<Flow>, path: PathBuf) -> Result<Self, Error> {
        let hang_up = signal(SignalKind::hangup()).map_err(Error::Signal)?;
        let seen = changed(&path);
        Ok(Self { flow, path, hang_up, seen })
    }

    pub(super) async fn run(mut self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = cancel.cancelled() => return,
                _ = self.hang_up.recv() => {}
                () = tokio::time::sleep(LOOK) => {
                    let changed = changed(&self.path);
                    if changed == self.seen {
                        continue;
                    }
                    self.seen = changed;
                }
            }
            self.apply();
        }
    }

    /// Applies what can change while the process runs: seeds and limits. Addresses stay.
    pub(super) fn apply(&self) {
        match read(&self.path) {
            Ok(settings) => {
                self.flow.peers.set_seeds(settings.seeds);
                self.flow.set_bounds(settings.bounds);
                log::info!("event=reload result=applied");
            }
            Err(err) => log::error!("event=reload result=kept_old_settings error=\"{err}\""),
        }
    }
}

fn changed(path: &PathBuf) -> Option<SystemTime> {
    match std::fs::metadata(path).and_then(|data| data.modified()) {
        Ok(time) => Some(time),
        Err(err) => {
            log::warn!("event=reload error=\"{err}\"");
            None
        }
    }
}
