use std::path::Path;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Service;

/// How often files are checked for changes.
pub const POLL: Duration = Duration::from_millis(50);

/// Keeps a key equal to the content of a file until `cancel`.
///
/// A file that is missing or unreadable leaves the key as it is. Writers should replace the file in one step (write
/// another file, then rename), else a part of it may be served for a moment.
pub async fn follow(service: Service, key: &str, file: &Path, cancel: &CancellationToken) {
    let mut last = Vec::new();
    loop {
        // The files are small and local, so reading them does not hold the worker for long.
        if let Ok(content) = std::fs::read(file)
            && content != last
        {
            service.put(key, content.clone());
            last = content;
        }
        if cancel.run_until_cancelled(tokio::time::sleep(POLL)).await.is_none() {
            return;
        }
    }
}
