use super::Batch;
use super::Claimant;
use super::Claims;
use super::Promises;
use super::Target;
use crate::holder::member;
use crate::name;
use crate::time::Instant;

/// Both sides of an entry's leases: its promises as a witness and its claims as a holder.
///
/// An entry is usually a witness of the servers it holds. Its own promise follows the same rules as
/// any other, without a message.
#[derive(Debug, Clone)]
pub struct Leases {
    name: name::Vm,
    incarnation: u64,
    promises: Promises,
    claims: Claims,
}

impl Leases {
    /// Creates the table of the entry `name` that started at `start`. `incarnation` must differ
    /// from that of each earlier start.
    pub fn new(name: name::Vm, incarnation: u64, start: Instant) -> Self {
        let claims = Claims::new(name.clone());
        Self { name, incarnation, promises: Promises::new(start), claims }
    }

    /// Claims or renews `wanted` servers and returns what to send to other entries. See
    /// [`Claims::begin_round`].
    pub fn begin_round<'a, W>(
        &mut self,
        now: Instant,
        wanted: impl IntoIterator<Item = (&'a Target, W)>,
    ) -> Vec<Batch>
    where
        W: AsRef<[&'a member::Vm]>,
    {
        let batches = self.claims.begin_round(now, wanted);
        self.keep_others(now, batches)
    }

    /// Gives up the claims on `targets` and returns what to send to other entries. See
    /// [`Claims::release`].
    pub fn release<'a>(
        &mut self,
        now: Instant,
        targets: impl IntoIterator<Item = &'a Target>,
    ) -> Vec<Batch> {
        let batches = self.claims.release(now, targets);
        self.keep_others(now, batches)
    }

    /// Answers a message of another entry: for each claimed server, in order, whether it is
    /// promised.
    /// `now` must be read after the message arrived.
    pub fn answer_claim(
        &mut self,
        now: Instant,
        claimant: Claimant<'_>,
        claimed: &[Target],
        released: &[Target],
    ) -> Vec<bool> {
        answer(&mut self.promises, now, claimant, claimed, released)
    }

    /// Records the answer of `witness` to `batch`. See [`Claims::record_grant`].
    pub fn record_grant(&mut self, batch: &Batch, witness: &str, granted: &[bool]) {
        self.claims.record_grant(batch, witness, granted);
    }

    /// The end of the lease on `target`, if there is one at `now`. See [`Claims::valid_until`].
    pub fn valid_until(&self, target: &Target, now: Instant) -> Option<Instant> {
        self.claims.valid_until(target, now)
    }

    /// The claims of this entry.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The promises of this entry.
    pub fn promises(&self) -> &Promises {
        &self.promises
    }

    /// Applies the batch for this entry itself and returns the others.
    fn keep_others(&mut self, now: Instant, mut batches: Vec<Batch>) -> Vec<Batch> {
        let own = batches.iter().position(|batch| batch.witness == self.name);
        if let Some(batch) = own.map(|index| batches.remove(index)) {
            let claimant =
                Claimant { name: &self.name, incarnation: self.incarnation, round: batch.round };
            let granted =
                answer(&mut self.promises, now, claimant, &batch.claimed, &batch.released);
            self.claims.record_grant(&batch, self.name.as_str(), &granted);
        }
        batches
    }
}

fn answer(
    promises: &mut Promises,
    now: Instant,
    claimant: Claimant<'_>,
    claimed: &[Target],
    released: &[Target],
) -> Vec<bool> {
    released.iter().for_each(|target| promises.release(claimant, target));
    claimed.iter().map(|target| promises.promise(now, claimant, target)).collect()
}
