//! Gossip membership: which entries are live.
//!
//! Each entry counts its heartbeats. A few times a second it sends the heartbeat counts that it
//! knows to a few peers, and a count that has grown shows the receiver that the peer is live. An
//! entry that starts knows only a few seeds, which may be stale; gossip makes it known to the
//! others.
//!
//! An entry that leaves sends that in its heartbeats, and callers stop getting its address at once.
//! One whose count does not grow becomes silent after [`SILENT_AFTER`] and is removed after
//! [`FORGET_AFTER`].

mod heartbeat;
mod live;
mod table;

use std::net::Ipv4Addr;
use std::time::Duration;

use self::table::MemberTable;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::time::Instant;

pub use self::heartbeat::HeartbeatResult;
pub use self::heartbeat::MAX_MEMBERS;
pub use self::heartbeat::MemberOrder;
pub use self::heartbeat::Targets;

/// Time between two heartbeats of an entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time since the last heartbeat after which a peer is silent. It is twelve heartbeat intervals, so
/// that a few lost datagrams make no difference.
pub const SILENT_AFTER: Duration = Duration::from_millis(3_600);

/// Time since the last heartbeat after which a peer is removed. Until then it is sent a heartbeat
/// from time to time, so that both sides of a healed partition find each other again.
pub const FORGET_AFTER: Duration = Duration::from_secs(120);

/// An entry, as heartbeats list it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Address of the entry's VM; all entries use the same ports.
    pub ip: Ipv4Addr,
    /// Failure domain.
    pub domain: name::Domain,
    /// Identifies a process of the entry; a later process has a higher number.
    pub incarnation: u64,
    /// Number of heartbeats that the process has sent.
    pub heartbeat: u64,
    /// Whether the entry is leaving.
    pub leaving: bool,
}

/// The table of entries.
#[derive(Debug)]
pub struct Peers {
    table: Mutex<MemberTable>,
}

impl Peers {
    /// Creates a table with the entry `own` and the addresses of seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>) -> Self {
        let table = MemberTable {
            own,
            peers: Vec::new(),
            seeds,
            assumed_live_until: Instant::default(),
            had_peers: false,
        };
        Self { table: Mutex::new(Rank::Members, table) }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.table.lock().seeds = seeds;
    }

    /// Marks this entry as leaving in further heartbeats.
    pub fn leave(&self) {
        self.table.lock().own.leaving = true;
    }

    /// Whether this entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.table.lock().own.leaving
    }

    /// Records that this process was suspended. Heartbeats that it missed meanwhile do not show
    /// that its peers have ended, so all peers count as live until there was time to receive
    /// further ones.
    pub fn note_suspension(&self, now: Instant) {
        self.table.lock().assumed_live_until = now + SILENT_AFTER;
    }

    /// The addresses of the seeds, without this entry.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        table.seeds.iter().copied().filter(|ip| *ip != table.own.ip).collect()
    }
}
