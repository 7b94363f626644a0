/// What a server says about itself, on an answer or to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the server runs now, the answered one excluded.
    pub in_flight: u32,
    /// Requests that the server can run at once.
    pub slots: u32,
    /// Whether the server has warmed up.
    pub warm: bool,
    /// Whether the server is on its way out.
    pub draining: bool,
    /// Identifies the server's process; a new value means that it started again.
    pub boot: u64,
}
