//! Messages of a claimant to its witnesses, one per witness and round.

use std::collections::BTreeMap;

use super::Target;
use crate::name;
use crate::time::Instant;

/// The message of one round to one witness. The claimant keeps it until the answer arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The receiving witness.
    pub witness: name::Vm,
    /// Number of the round.
    pub round: u64,
    /// When the round began, before the batch is sent. Promises count from this time.
    pub started_at: Instant,
    /// Servers to claim.
    pub claimed: Vec<Target>,
    /// Servers to release.
    pub released: Vec<Target>,
}

/// The batches of one round, by witness.
pub(super) struct Batches {
    round: u64,
    started_at: Instant,
    batches: BTreeMap<name::Vm, Batch>,
}

impl Batches {
    pub(super) fn new(round: u64, started_at: Instant) -> Self {
        Self { round, started_at, batches: BTreeMap::new() }
    }

    /// The batch for `witness`, created on first use.
    pub(super) fn for_witness(&mut self, witness: &name::Vm) -> &mut Batch {
        self.batches.entry(witness.clone()).or_insert_with(|| Batch {
            witness: witness.clone(),
            round: self.round,
            started_at: self.started_at,
            claimed: Vec::new(),
            released: Vec::new(),
        })
    }

    pub(super) fn into_vec(self) -> Vec<Batch> {
        self.batches.into_values().collect()
    }
}
