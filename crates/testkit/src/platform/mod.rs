//! A test double of the platform's configuration service.
//!
//! It serves keys through the published key-value HTTP API with blocking queries, read only.
//! [`Model`] holds the keys with their complete history, so that it can also answer as a stale
//! replica does. [`Adapter`] serves the model over HTTP, with a control interface for tests under
//! `/test/`:
//!
//! | Request | Effect |
//! |---|---|
//! | `PUT /test/kv/KEY` (body: value) | sets a key and answers the new index |
//! | `POST /test/down?how=close` or `how=error` | closes connections without an answer, or answers 500 |
//! | `POST /test/stale?index=N` | answers with the state at index N, by default the current one |
//! | `POST /test/delay?ms=N` | delays each answer |
//! | `POST /test/up` | ends the three faults above |
//! | `POST /test/reset` | restarts with the current values and the index at 1 |
//! | `GET /test/counts` | counts of reads as JSON |

mod adapter;
mod model;
mod watch_file;

pub use self::adapter::Adapter;
pub use self::model::Counts;
pub use self::model::KeyState;
pub use self::model::Model;
pub use self::model::Outage;
pub use self::model::ReadResult;
pub use self::watch_file::POLL_INTERVAL;
pub use self::watch_file::watch_file;

/// Key of the configuration.
pub const CONFIG_KEY: &str = "jackdawpin/config";
/// Key of the VM list.
pub const VM_LIST_KEY: &str = "jackdawpin/vms";
