use crate::holder::event::Stamp;
use crate::holder::intent::DocumentVersion;
use crate::name;
use crate::time::Instant;

/// The capacity of the servers of one service that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// The service.
    pub service: name::Service,
    /// Sum of the concurrency limits of these servers.
    pub limit: u32,
    /// Free slots: requests that the entry could dispatch immediately.
    pub free: u32,
}

/// The state of an entry, as the entry reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifies the process; a process started later has a larger incarnation.
    pub incarnation: u64,
    /// Stamp of the sender's clock, which orders the heartbeats of an incarnation.
    pub clock: Stamp,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the entry's planned stop has begun.
    pub leaving: bool,
    /// Version of its configuration.
    pub config_version: Option<DocumentVersion>,
    /// Version of its VM list.
    pub list_version: Option<DocumentVersion>,
    /// Capacity for each service of which the entry holds a server.
    pub capacity: Vec<Capacity>,
}

impl Heartbeat {
    /// Whether this heartbeat is later than `other` of the same sender.
    pub(super) fn is_later_than(&self, other: &Self) -> bool {
        (self.incarnation, self.clock) > (other.incarnation, other.clock)
    }

    /// The sender's capacity for a service. `self.capacity` must be sorted by service.
    pub(super) fn service_capacity(&self, service: &str) -> Option<&Capacity> {
        let index = self.find_service(service).ok()?;
        self.capacity.get(index)
    }

    /// Sets the free slots for a service; adds the service if it is missing.
    pub(super) fn set_free(&mut self, service: &name::Service, free: u32) {
        match self.find_service(service.as_str()) {
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

    /// Position of the service in `self.capacity`, or the position at which to insert it.
    fn find_service(&self, service: &str) -> Result<usize, usize> {
        self.capacity.binary_search_by(|capacity| capacity.service.as_str().cmp(service))
    }
}

/// How a heartbeat was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatKind {
    /// As the response to a heartbeat of this entry.
    Response {
        /// When this entry sent its heartbeat.
        request_sent_at: Instant,
    },
    /// As a request that the peer sent.
    Request,
}
