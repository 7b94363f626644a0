use crate::holder::event::Stamp;
use crate::holder::intent::DocumentVersion;
use crate::name;
use crate::time::Instant;

/// What an entry can take on for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// The service.
    pub service: name::Service,
    /// Sum of the limits of the servers held.
    pub limit: u32,
    /// Requests that could be dispatched at once.
    pub free: u32,
}

/// What an entry says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifies the start of the process; a later start has a larger one.
    pub incarnation: u64,
    /// The sender's clock, which orders the heartbeats of an incarnation.
    pub clock: Stamp,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the entry's planned stop has begun.
    pub leaving: bool,
    /// Place of its configuration in the order.
    pub config_version: Option<DocumentVersion>,
    /// Place of its VM list in the order.
    pub list_version: Option<DocumentVersion>,
    /// Per service with a held server.
    pub capacity: Vec<Capacity>,
}

impl Heartbeat {
    /// Whether this heartbeat was sent after `other`, by the sender's account.
    pub(super) fn follows(&self, other: &Self) -> bool {
        (self.incarnation, self.clock) > (other.incarnation, other.clock)
    }

    /// What the sender can take on for a service. The capacities must be sorted.
    pub(super) fn of(&self, service: &str) -> Option<&Capacity> {
        let index = self.index(service).ok()?;
        self.capacity.get(index)
    }

    /// Changes the free places for a service; adds the service if it is not there.
    pub(super) fn set_free(&mut self, service: &name::Service, free: u32) {
        match self.index(service.as_str()) {
            Ok(index) => {
                if let Some(capacity) = self.capacity.get_mut(index) {
                    capacity.free = free;
                }
            }
            Err(index) => {
                let capacity = Capacity { service: service.clone(), limit: free, free };
                self.capacity.insert(index, capacity);
            }
        }
    }

    fn index(&self, service: &str) -> Result<usize, usize> {
        self.capacity.binary_search_by(|capacity| capacity.service.as_str().cmp(service))
    }
}

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatKind {
    /// It answers a heartbeat that this entry sent at `asked`.
    Response {
        /// When the question was sent.
        request_sent_at: Instant,
    },
    /// The peer sent it unasked.
    Request,
}
