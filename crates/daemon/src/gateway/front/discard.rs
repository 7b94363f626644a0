//! Reads and discards what is left of a request's body, so that its caller gets the answer: a
//! connection that is closed with unread bytes is reset.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::exchange::upload::Upload;

/// Time for which the rest of a body is read and discarded after its read has failed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the answer to an upload waits for the rest of its body.
const UPLOAD_REST_TIME: Duration = Duration::from_millis(100);

/// Reads and discards the rest of a body, for a limited time.
pub(in crate::gateway) async fn discard_rest(body: &mut Incoming) {
    let rest = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
    // A caller that sends for longer loses the answer.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}

/// Reads and discards the rest of an upload: the caller could lose the answer if its connection were
/// closed with unread bytes. Most of the rest is under way, so this waits a short time for it; what a
/// slow caller still sends is discarded while the answer goes out.
pub(super) async fn discard_upload(upload: Upload) {
    if upload.has_ended() {
        return;
    }
    let discarding = tokio::spawn(async move {
        // A caller that sends for longer loses the answer.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, upload.discard_rest()).await;
    });
    let _ = tokio::time::timeout(UPLOAD_REST_TIME, discarding).await;
}
