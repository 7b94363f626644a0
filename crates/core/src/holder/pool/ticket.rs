use std::sync::Arc;

use tokio::sync::oneshot;

use super::Place;
use super::Pool;

/// A place in the queue of a pool.
///
/// Dropping a ticket gives back a place that was assigned to it but not taken.
#[derive(Debug)]
pub struct Ticket {
    pool: Arc<Pool>,
    receiver: oneshot::Receiver<Place>,
}

impl Ticket {
    pub(super) fn new(pool: Arc<Pool>, receiver: oneshot::Receiver<Place>) -> Self {
        Self { pool, receiver }
    }

    /// Waits for a place. `None` if the pool is gone.
    pub async fn place(&mut self) -> Option<Place> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Place::Local(permit)) = self.receiver.try_recv() {
            self.pool.return_place(permit);
        }
    }
}
