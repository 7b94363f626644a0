//! Waiting in the queue of a pool.

use std::sync::Arc;

use tokio::sync::oneshot;

use super::Destination;
use super::Pool;

/// The position of a request in the queue of a pool.
///
/// Dropping a ticket releases a permit that was assigned to it and not received.
#[derive(Debug)]
pub struct Ticket {
    pool: Arc<Pool>,
    receiver: oneshot::Receiver<Destination>,
}

impl Ticket {
    pub(super) fn new(pool: Arc<Pool>, receiver: oneshot::Receiver<Destination>) -> Self {
        Self { pool, receiver }
    }

    /// Waits until a destination is assigned to the request. `None` if the pool was dropped.
    pub async fn wait(&mut self) -> Option<Destination> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Destination::Server(permit)) = self.receiver.try_recv() {
            self.pool.release_unused(permit);
        }
    }
}
