//! What the end of an attempt shows about its server.

use std::time::Duration;

use super::Fleet;
use super::Pick;
use crate::direct::port::Notice;
use crate::name;
use crate::time::Instant;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered after this time, without an error.
    Answered(Duration),
    /// The server answered that it did not run the request.
    Shed,
    /// The server answered with an error, or gave no whole answer.
    Failed,
    /// The server gave no answer until the deadline of the attempt.
    Silent,
    /// The server could not be reached, or another server has its address.
    Unreachable,
    /// The entry dropped the attempt, which shows nothing about the server.
    Abandoned,
}

impl Fleet {
    /// Records what the server of `pick` said of itself in its answer.
    pub fn record_notice(&self, service: &str, pick: &Pick, notice: &Notice, now: Instant) {
        let mut table = self.table.lock();
        table.record_contact(service, now);
        if let Some(state) = table.state(service, pick.server.as_str()) {
            state.record_notice(notice, now);
        }
    }

    /// Records that `server` has said, in an answer that another entry passed on, that it is leaving.
    pub fn record_leaving(&self, service: &str, server: &name::Vm) {
        if let Some(state) = self.table.lock().state(service, server.as_str()) {
            state.record_leaving();
        }
    }

    /// Records how an attempt ended. An answer updates the usual time of `route` and how servers slow
    /// down, corrected for the load that `pick` reports.
    pub fn finish(&self, service: &str, route: &str, pick: &Pick, end: AttemptEnd, now: Instant) {
        let mut table = self.table.lock();
        table.learn(service, route, pick, end);
        let Some(state) = table.state(service, pick.server.as_str()) else {
            return;
        };
        state.in_flight.retain(|attempt| attempt.id != pick.attempt_id);
        match end {
            AttemptEnd::Answered(_) => state.record_success(now),
            AttemptEnd::Failed | AttemptEnd::Silent => state.record_failure(now),
            AttemptEnd::Unreachable => {
                state.record_failure(now);
                state.record_no_answer(now);
            }
            AttemptEnd::Shed | AttemptEnd::Abandoned => {}
        }
    }
}
