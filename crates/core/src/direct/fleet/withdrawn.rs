//! What servers have said of their leaving and of pauses, kept while the store does not list them.
//!
//! The item of a server may expire and come back, for example around an outage of the store. The process
//! is still the one that said so.

use std::collections::VecDeque;

use super::server::ServerState;
use crate::name;
use crate::time::Instant;

/// Largest number of servers that are remembered.
const MAX_WITHDRAWALS: usize = 1_024;

/// What a server that is not listed has said.
#[derive(Debug)]
struct Withdrawal {
    name: name::Vm,
    started_ms: u64,
    leaving: bool,
    paused_until: Instant,
}

/// The servers that are not listed and have said that they want no requests, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    servers: VecDeque<Withdrawal>,
}

impl Withdrawals {
    /// Remembers what a server has said that is removed from the table.
    pub(super) fn record(&mut self, state: &ServerState) {
        if !state.leaving && state.paused_until == Instant::default() {
            return;
        }
        let withdrawal = Withdrawal {
            name: state.server.name.clone(),
            started_ms: state.server.started_ms,
            leaving: state.leaving,
            paused_until: state.paused_until,
        };
        self.servers.retain(|server| server.name != withdrawal.name);
        if self.servers.len() >= MAX_WITHDRAWALS {
            self.servers.pop_front();
        }
        self.servers.push_back(withdrawal);
    }

    /// Restores what a server has said before, if the same process is listed again.
    pub(super) fn restore(&self, state: &mut ServerState) {
        let is_same = |server: &&Withdrawal| {
            server.name == state.server.name && server.started_ms == state.server.started_ms
        };
        if let Some(known) = self.servers.iter().find(is_same) {
            state.leaving = known.leaving;
            state.paused_until = known.paused_until;
        }
    }
}
