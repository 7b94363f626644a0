//! The port for one read.

use std::future::Future;

use super::Answer;
use super::Error;

/// Reads a key.
pub trait Fetch: Send + Sync + 'static {
    /// Reads `key`. If `index` is that of the last answer, the answer comes when the key has
    /// changed or a wait has passed; if it is 0, it comes at once.
    fn fetch(&self, key: &str, index: u64) -> impl Future<Output = Result<Answer, Error>> + Send;
}
