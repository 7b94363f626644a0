//! A stand-in of the platform's configuration service.
//!
//! It serves keys through the published blocking-query key-value HTTP API, read only. [`Model`] holds the keys with
//! their whole history, so it can also answer as a stale replica does. [`Service`] serves the model and has a control
//! side for tests under `/test/`:
//!
//! | Request | Effect |
//! |---|---|
//! | `PUT /test/kv/KEY` (body: value) | sets a key; answers the new index |
//! | `POST /test/down?how=close` or `how=error` | closes connections without an answer, or answers 500 |
//! | `POST /test/stale?index=N` | answers as of index N; without an index, as of now |
//! | `POST /test/delay?ms=N` | delays each answer |
//! | `POST /test/up` | ends the three above |
//! | `POST /test/reset` | starts again with the present values and the index at 1 |
//! | `GET /test/counts` | counts of calls as JSON |

mod adapter;
mod files;
mod model;

pub use self::adapter::Service;
pub use self::files::POLL;
pub use self::files::follow;
pub use self::model::Answer;
pub use self::model::Counts;
pub use self::model::Down;
pub use self::model::Model;
pub use self::model::Read;

/// Key of the configuration.
pub const CONFIG_KEY: &str = "jackdawpin/config";
/// Key of the VM list.
pub const VM_LIST_KEY: &str = "jackdawpin/vms";
