/// A server's report on its own load, sent with an answer or in reply to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the server is running, without the one that it has just answered.
    pub in_flight: u32,
    /// Requests that the server can run at once.
    pub slots: u32,
    /// Whether the server has warmed up.
    pub warm: bool,
    /// Whether the server is draining before it stops.
    pub draining: bool,
    /// Identifies the server's process; a different value means that it was restarted.
    pub boot: u64,
}
