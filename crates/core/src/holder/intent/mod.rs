//! The operators' intent: which configuration and VM list are in force, and whether this entry can
//! know them.
//!
//! Documents have a total [`DocumentVersion`], by number and then by digest. A [`DocumentTable`]
//! only moves up in it, whoever offers a document and in whatever order, so entries that exchange
//! their documents end with the same ones, and a platform that serves old data (a lagging replica,
//! or one rebuilt from a backup) cannot take back what the operators published. The price is that a
//! platform rebuilt with lower numbers has no effect until its numbers pass those in force; the
//! operators see this as a stale document.

mod fetch_limiter;
mod input;
mod readiness;
mod slot;
mod table;
mod version;

pub use self::fetch_limiter::FETCH_BACKOFF;
pub use self::fetch_limiter::FETCH_TIMEOUT;
pub use self::fetch_limiter::FetchLimiter;
pub use self::input::CATCH_UP_TIMEOUT;
pub use self::input::CONNECTED_READ_WAIT;
pub use self::input::FENCE_AFTER;
pub use self::input::ISOLATED_READ_WAIT;
pub use self::input::JOIN_TIMEOUT;
pub use self::input::ReadinessInput;
pub use self::readiness::Readiness;
pub use self::slot::AcceptedDocument;
pub use self::slot::Refusal;
pub use self::table::DocumentStatus;
pub use self::table::DocumentTable;
pub use self::table::Intent;
pub use self::table::PlatformReads;
pub use self::version::Decision;
pub use self::version::DocumentVersion;
pub use self::version::Source;
