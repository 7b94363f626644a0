use std::path::Path;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Adapter;

/// Time between two checks of a file for changes.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps a key equal to the content of a file until `cancel` is cancelled.
///
/// While the file is missing or unreadable, the key keeps its value. Writers should replace the
/// file atomically (write another file, then rename it), or a partial document may be served
/// briefly.
pub async fn watch_file(adapter: Adapter, key: &str, file: &Path, cancel: &CancellationToken) {
    let mut last_content = Vec::new();
    loop {
        // The files are small and local, so a blocking read occupies the worker only briefly.
        if let Ok(content) = std::fs::read(file)
            && content != last_content
        {
            adapter.put(key, content.clone());
            last_content = content;
        }
        if cancel.run_until_cancelled(tokio::time::sleep(POLL_INTERVAL)).await.is_none() {
            return;
        }
    }
}
