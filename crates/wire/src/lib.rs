//! Messages between the processes of jackdawpin, and their encoding.
//!
//! Messages are MessagePack maps with field names, carried as HTTP bodies of type [`MEDIA_TYPE`] on the control
//! listener. A reader ignores fields that it does not know and a new field has a default, so that entries of two
//! versions work together during an upgrade. Messages on the request path borrow from the buffer they are read from.

mod admin;
mod codec;
mod datagram;
mod peer;

pub use self::admin::Entry;
pub use self::admin::Event;
pub use self::admin::Explanation;
pub use self::admin::Origin;
pub use self::admin::Page;
pub use self::admin::Server;
pub use self::admin::Service;
pub use self::admin::Setting;
pub use self::admin::Status;
pub use self::admin::Totals;
pub use self::codec::Error;
pub use self::codec::decode;
pub use self::codec::encode;
pub use self::codec::encode_short;
pub use self::datagram::Ahead;
pub use self::datagram::Beat;
pub use self::datagram::Datagram;
pub use self::datagram::Delta;
pub use self::datagram::Item;
pub use self::datagram::Member;
pub use self::datagram::News;
pub use self::peer::Capacity;
pub use self::peer::Claim;
pub use self::peer::Document;
pub use self::peer::Field;
pub use self::peer::Forward;
pub use self::peer::Grant;
pub use self::peer::Heartbeat;
pub use self::peer::Order;
pub use self::peer::Reply;
pub use self::peer::Stamp;
pub use self::peer::Target;
pub use self::peer::Vacancy;
pub use self::peer::Verdict;
pub use self::peer::Watch;

/// Media type of all messages.
pub const MEDIA_TYPE: &str = "application/vnd.jackdawpin.v1+msgpack";

/// Largest message other than a forwarded request, in bytes: a document of 1 MiB and its envelope.
pub const MAX_MESSAGE: usize = (1 << 20) + (64 << 10);

/// Largest datagram in bytes; it fits in one packet of an Ethernet.
pub const MAX_DATAGRAM: usize = 1_400;

/// Largest size of a forwarded request or its reply without the body, in bytes.
pub const MAX_ENVELOPE: usize = 256 << 10;

/// Paths on the control listener.
pub mod path {
    /// Exchanges [`Heartbeat`](crate::Heartbeat)s.
    pub const HEARTBEAT: &str = "/peer/v1/heartbeat";
    /// Takes a [`Claim`](crate::Claim), answers with a [`Grant`](crate::Grant).
    pub const LEASE: &str = "/peer/v1/lease";
    /// Takes a [`Forward`](crate::Forward), answers with a [`Reply`](crate::Reply).
    pub const FORWARD: &str = "/peer/v1/forward";
    /// Takes a [`Watch`](crate::Watch), answers with a [`Vacancy`](crate::Vacancy).
    pub const VACANCY: &str = "/peer/v1/vacancy";
    /// Answers with the configuration in force as a [`Document`](crate::Document).
    pub const CONFIG: &str = "/peer/v1/document/config";
    /// Answers with the VM list in force as a [`Document`](crate::Document).
    pub const VMS: &str = "/peer/v1/document/vms";
    /// Answers with the changes of the platform's store as a [`Delta`](crate::Delta); query `since`, a revision.
    pub const FEED: &str = "/peer/v1/feed";
    /// Answers with a [`Status`](crate::Status).
    pub const STATUS: &str = "/admin/v1/status";
    /// Answers with an [`Explanation`](crate::Explanation); query `service` and `server`.
    pub const EXPLAIN: &str = "/admin/v1/explain";
    /// Answers with a [`Page`](crate::Page); query `after`, the number of the last event seen.
    pub const TIMELINE: &str = "/admin/v1/timeline";
}
