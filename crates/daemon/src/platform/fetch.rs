//! The port for one read from the platform.

use std::future::Future;

use super::Answer;
use super::Error;

/// Reads keys from the platform.
pub trait Fetch: Send + Sync + 'static {
    /// Reads `key`. If `index` is the index of the last answer, the platform answers when the key
    /// has changed or the wait has passed; if `index` is 0, it answers at once.
    fn fetch(&self, key: &str, index: u64) -> impl Future<Output = Result<Answer, Error>> + Send;
}
