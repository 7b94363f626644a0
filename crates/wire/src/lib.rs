//! Messages between the processes of jackdawpin, and their encoding.
//!
//! Messages are MessagePack maps with field names, sent as HTTP bodies of type [`MEDIA_TYPE`] to
//! the control listener. A receiver ignores unknown fields and a new field has a default, so that
//! entries of two versions work together during an upgrade. [`Datagram`]s are sent without field
//! names. Messages on the request path borrow from the buffer that they are decoded from.

mod admin;
mod codec;
mod datagram;
mod peer;

pub use self::admin::Event;
pub use self::admin::Explanation;
pub use self::admin::Origin;
pub use self::admin::PeerStatus;
pub use self::admin::ServerStatus;
pub use self::admin::ServiceStatus;
pub use self::admin::Setting;
pub use self::admin::Status;
pub use self::admin::TimelinePage;
pub use self::admin::Totals;
pub use self::codec::Error;
pub use self::codec::decode;
pub use self::codec::encode;
pub use self::codec::encode_compact;
pub use self::datagram::Crash;
pub use self::datagram::Datagram;
pub use self::datagram::Delta;
pub use self::datagram::GossipHeartbeat;
pub use self::datagram::Item;
pub use self::datagram::Member;
pub use self::datagram::Reach;
pub use self::datagram::RelayedUpdate;
pub use self::datagram::RevisionNotice;
pub use self::datagram::StoreUpdate;
pub use self::datagram::Suspect;
pub use self::peer::Capacity;
pub use self::peer::Claim;
pub use self::peer::Document;
pub use self::peer::DocumentVersion;
pub use self::peer::ForwardReply;
pub use self::peer::ForwardRequest;
pub use self::peer::Grant;
pub use self::peer::Header;
pub use self::peer::Heartbeat;
pub use self::peer::Stamp;
pub use self::peer::Target;
pub use self::peer::Vacancy;
pub use self::peer::VacancyRequest;
pub use self::peer::Verdict;

/// Media type of all messages.
pub const MEDIA_TYPE: &str = "application/vnd.jackdawpin.v1+msgpack";

/// Largest message other than a forwarded request, in bytes: a document of 1 MiB and 64 KiB for the
/// other fields.
pub const MAX_MESSAGE_BYTES: usize = (1 << 20) + (64 << 10);

/// Largest datagram, in bytes; it fits in one Ethernet packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Largest size of a forwarded request or its reply without the body, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 256 << 10;

/// Paths on the control listener.
pub mod path {
    /// Exchanges [`Heartbeat`](crate::Heartbeat)s.
    pub const HEARTBEAT: &str = "/peer/v1/heartbeat";
    /// Receives a [`Claim`](crate::Claim), answers with a [`Grant`](crate::Grant).
    pub const LEASE: &str = "/peer/v1/lease";
    /// Receives a [`ForwardRequest`](crate::ForwardRequest), answers with a
    /// [`ForwardReply`](crate::ForwardReply).
    pub const FORWARD: &str = "/peer/v1/forward";
    /// Receives a [`VacancyRequest`](crate::VacancyRequest), answers with a
    /// [`Vacancy`](crate::Vacancy).
    pub const VACANCY: &str = "/peer/v1/vacancy";
    /// Answers with the configuration in force as a [`Document`](crate::Document).
    pub const CONFIG: &str = "/peer/v1/document/config";
    /// Answers with the VM list in force as a [`Document`](crate::Document).
    pub const VM_LIST: &str = "/peer/v1/document/vms";
    /// Answers with the changes of the platform's store as a [`Delta`](crate::Delta); query
    /// `since`, a revision.
    pub const STORE_CHANGES: &str = "/peer/v1/feed";
    /// Answers with a [`Status`](crate::Status).
    pub const STATUS: &str = "/admin/v1/status";
    /// Answers with an [`Explanation`](crate::Explanation); query `service` and `server`.
    pub const EXPLAIN: &str = "/admin/v1/explain";
    /// Answers with a [`TimelinePage`](crate::TimelinePage); query `after`, the number of the last
    /// event that the caller has.
    pub const TIMELINE: &str = "/admin/v1/timeline";
}
