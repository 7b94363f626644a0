//! What this entry knows of the other entries from their heartbeats.
//!
//! Each entry sends a heartbeat to each other one and gets one back. A heartbeat replaces all that
//! was known of its sender, unless it is older than what is known. Between heartbeats,
//! [`Peers::take_free_slot`] and [`Peers::set_free_slots`] keep the free places of peers roughly
//! right.
//!
//! A peer counts as heard at the time at which it must have been alive: for an answer the time at
//! which the question was sent, for a question the time of receipt. After a pause of this process,
//! questions may have waited as long as the pause; for [`RESUME_GRACE`] they do not count.

mod heartbeat;
mod peer;
mod table;
mod view;

pub use self::heartbeat::Capacity;
pub use self::heartbeat::Heartbeat;
pub use self::heartbeat::HeartbeatKind;
pub use self::peer::PeerStatus;
pub use self::peer::SILENT_AFTER;
pub use self::table::MAX_PEERS;
pub use self::table::Peers;
pub use self::table::RESUME_GRACE;
pub use self::table::SUSPENDED_AFTER;
pub use self::view::Connectivity;
pub use self::view::PeerCapacity;
