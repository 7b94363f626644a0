use std::collections::BTreeMap;

use super::Target;
use crate::name;
use crate::time::Instant;

/// What to send to one witness. It is kept until the answer arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The receiver.
    pub witness: name::Vm,
    /// Number of the round.
    pub round: u64,
    /// A time before the batch is sent; the promises count from here.
    pub begun: Instant,
    /// Servers to claim.
    pub claimed: Vec<Target>,
    /// Servers to release.
    pub released: Vec<Target>,
}

/// The batches of one round, by witness.
pub(super) struct Batches {
    round: u64,
    begun: Instant,
    batches: BTreeMap<name::Vm, Batch>,
}

impl Batches {
    pub(super) fn new(round: u64, begun: Instant) -> Self {
        Self { round, begun, batches: BTreeMap::new() }
    }

    /// The batch for `witness`, created when it is asked for first.
    pub(super) fn of(&mut self, witness: &name::Vm) -> &mut Batch {
        self.batches.entry(witness.clone()).or_insert_with(|| Batch {
            witness: witness.clone(),
            round: self.round,
            begun: self.begun,
            claimed: Vec::new(),
            released: Vec::new(),
        })
    }

    pub(super) fn finish(self) -> Vec<Batch> {
        self.batches.into_values().collect()
    }
}
