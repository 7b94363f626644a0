//! What servers have said of their leaving, kept while the store does not list them.
//!
//! The item of a server that is leaving may expire and come back, for example around an outage of
//! the store. The process is still the one that said so.

use std::collections::VecDeque;

use super::server::ServerState;
use crate::name;

/// Largest number of servers that are remembered.
const MAX_WITHDRAWALS: usize = 1_024;

/// A server that is not listed and has said that it is leaving.
#[derive(Debug)]
struct Withdrawal {
    name: name::Vm,
    started_ms: u64,
}

/// The servers that are not listed and have said that they are leaving, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    servers: VecDeque<Withdrawal>,
}

impl Withdrawals {
    /// Remembers what a server has said that is removed from the table.
    pub(super) fn record(&mut self, state: &ServerState) {
        if !state.leaving {
            return;
        }
        let (name, started_ms) = (state.server.name.clone(), state.server.started_ms);
        self.servers.retain(|server| server.name != name);
        if self.servers.len() >= MAX_WITHDRAWALS {
            self.servers.pop_front();
        }
        self.servers.push_back(Withdrawal { name, started_ms });
    }

    /// Restores what a server has said before, if the same process is listed again.
    pub(super) fn restore(&mut self, state: &mut ServerState) {
        let known = self.servers.iter().find(|server| server.name == state.server.name);
        state.leaving = known.is_some_and(|server| server.started_ms == state.server.started_ms);
    }
}
