//! The state of the other entries, as known from their heartbeats.
//!
//! Each entry sends a heartbeat to each other one and receives one in response. A heartbeat
//! replaces the known state of its sender, unless it is older than that state. Between heartbeats,
//! [`Peers::take_free_slot`] and [`Peers::set_free_slots`] keep an estimate of the free slots of
//! peers.
//!
//! A peer was last heard at the latest time at which its process is known to have run: for a
//! response, the time at which the request was sent; for a request, the time of receipt. After a
//! suspension of this process, requests may have waited in a socket as long as the suspension, so
//! for [`RESUME_GRACE`] they do not count.

mod heartbeat;
mod peer;
mod queries;
mod table;

pub use self::heartbeat::Capacity;
pub use self::heartbeat::Heartbeat;
pub use self::heartbeat::HeartbeatKind;
pub use self::peer::PeerStatus;
pub use self::peer::SILENT_AFTER;
pub use self::queries::Connectivity;
pub use self::queries::PeerCapacity;
pub use self::table::MAX_PEERS;
pub use self::table::Peers;
pub use self::table::RESUME_GRACE;
pub use self::table::SUSPENDED_AFTER;
