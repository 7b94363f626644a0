//! The operators' intent: which configuration and VM list are in force, and whether this entry can
//! know them.
//!
//! Documents have a total [`Order`], by number and then by digest. A [`Table`] only moves up in it,
//! whoever offers a document and in whatever order, so entries that exchange their documents end
//! with the same ones, and a platform that serves old data (a lagging replica, or one rebuilt from
//! a backup) cannot take back what the operators published. The price is that a platform rebuilt
//! with lower numbers has no effect until its numbers pass those in force; the operators see this
//! as a stale document.

mod fence;
mod fetch;
mod gate;
mod order;
mod slot;
mod table;

pub use self::fence::CATCH_UP;
pub use self::fence::Evidence;
pub use self::fence::FENCE_AFTER;
pub use self::fence::JOIN_WAIT;
pub use self::fence::LONG_WAIT;
pub use self::fence::SHORT_WAIT;
pub use self::fetch::FETCH_PAUSE;
pub use self::fetch::FETCH_TIMEOUT;
pub use self::fetch::Fetch;
pub use self::gate::Gate;
pub use self::order::Decision;
pub use self::order::Order;
pub use self::order::Source;
pub use self::slot::Accepted;
pub use self::slot::Refusal;
pub use self::table::Intent;
pub use self::table::Platform;
pub use self::table::Table;
pub use self::table::View;
