//! The intent of the operators: which configuration and VM list are in force, and whether this
//! entry can know that they are the latest.
//!
//! Documents are totally ordered by [`DocumentVersion`]: by number, then by digest. A
//! [`DocumentTable`] only moves to later versions, whoever offers documents and in whatever order.
//! So entries that exchange their documents converge, and a platform that serves old data (a
//! lagging replica, or one rebuilt from a backup) cannot revert what the operators published. The
//! drawback is that documents of a platform rebuilt with lower numbers have no effect until their
//! numbers pass those in force; operators see this as a stale document.
//!
//! [`Readiness`] decides from [`ReadinessInput`] whether the entry may take new work. The entry is
//! *fenced*, that is, it refuses new work, while it can reach neither the platform nor a majority
//! of the entries.

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
