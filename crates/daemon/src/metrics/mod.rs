//! temporary
use std::time::Duration;
use jackdawpin_core::flow::Served;
use jackdawpin_core::ledger::Totals;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::pool::Room;
/// Temporary.
#[derive(Debug, Default)]
pub struct Metrics;
#[allow(missing_docs)]
impl Metrics {
    pub fn served(&self, _: &str, _: &Served, _: Duration) {}
    pub fn refused(&self, _: &str, _: Refusal) {}
    pub fn pool(&self, _: &str, _: Room, _: usize) {}
    pub fn totals(&self, _: &str, _: &Totals) {}
    pub fn render(&self) -> String { String::new() }
    pub fn latency(&self, _: &str) -> (u64, u64) { (0, 0) }
}
