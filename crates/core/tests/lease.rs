//! Exclusivity of leases in random simulations of a set of entries.
//!
//! A simulation delays, loses, duplicates and reorders messages, suspends and restarts entries,
//! gives their clocks different rates, and lets their VM lists differ as far as the quorum rule
//! allows.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use jackdawpin_core::holder::lease::Batch;
use jackdawpin_core::holder::lease::Claimant;
use jackdawpin_core::holder::lease::LEASE_DURATION;
use jackdawpin_core::holder::lease::Leases;
use jackdawpin_core::holder::lease::MAX_PROMISES;
use jackdawpin_core::holder::lease::PROMISE_DURATION;
use jackdawpin_core::holder::lease::Promises;
use jackdawpin_core::holder::lease::Target;
use jackdawpin_core::holder::member;
use jackdawpin_core::name;
use jackdawpin_core::time::Instant;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Time on every clock at the start of a simulation, in nanoseconds. It is not 0, so that a witness
/// can have started earlier.
const START_NANOS: u64 = 1_000_000 * NANOS_PER_MILLI;

/// Number of entries that may claim servers; all entries may be witnesses.
const CLAIMANT_COUNT: usize = 3;

/// Number of simulations per test.
const CASES: u32 = 800;

/// The rule of leases that a simulation breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisabledRule {
    None,
    /// A witness makes no promises for a while after its start.
    NoPromisesAfterStart,
    /// A claimant that was restarted is another claimant.
    Incarnations,
    /// Clocks count the time that a VM is suspended.
    CountSuspendedTime,
    /// A claimant counts a promise from before it sent the claim.
    CountFromSending,
    /// A release does not remove a promise that was renewed in a later round.
    ReleaseRounds,
}

/// The witness sets in a simulation. The VM list of each entry gives the first `common` entries as
/// witnesses, and between `min_others` and `max_others` of the next `others` entries.
#[derive(Debug, Clone, Copy)]
struct WitnessSets {
    common: usize,
    min_others: usize,
    max_others: usize,
    others: usize,
}

/// The process of an entry. Times are in nanoseconds of true time since the start.
struct Process {
    leases: Leases,
    /// Number of the start, which is its incarnation.
    start: u64,
    /// Rate of the clock, in thousandths of true time.
    clock_permille: u64,
    paused_until: u64,
    /// Suspended time that the clock does not count.
    uncounted: u64,
    /// Whether the entry claims the servers.
    claims: bool,
    /// The witnesses by its VM list.
    witnesses: Vec<usize>,
}

#[derive(Clone)]
struct Message {
    /// The claimant and the number of its start.
    from: (usize, u64),
    /// The witness.
    to: usize,
    batch: Batch,
    answer: Option<Vec<bool>>,
    /// The time that the receiver read, if it was paused before it handled the message.
    clock_read: Option<Instant>,
}

/// A lease that an entry obtained.
struct Lease {
    target: usize,
    /// The entry and the number of its start.
    owner: (usize, u64),
    /// End of the lease in true time.
    until: u64,
}

struct Simulation {
    disabled: DisabledRule,
    sets: WitnessSets,
    now: u64,
    vms: Vec<member::Vm>,
    targets: Vec<Target>,
    processes: Vec<Process>,
    network: Vec<Message>,
    /// Leases that have not ended.
    observed: Vec<Lease>,
    /// Number of leases obtained so far.
    obtained: usize,
}

fn vm(name: &str) -> member::Vm {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    member::Vm {
        name: name::Vm::try_from(name).unwrap(),
        role: member::Role::Entry { caller: address, control: address },
        domain: name::Domain::try_from("d").unwrap(),
        region: name::Region::try_from("r").unwrap(),
        state: member::VmState::Live,
    }
}

fn target(index: usize) -> Target {
    Target {
        service: name::Service::try_from("lookup").unwrap(),
        server: name::Vm::try_from(format!("server-{index}").as_str()).unwrap(),
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_nanos(START_NANOS + millis * NANOS_PER_MILLI)
}

impl Simulation {
    fn new(disabled: DisabledRule, sets: WitnessSets, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vms: Vec<_> = (0..sets.common + sets.others).map(|i| vm(&format!("e{i}"))).collect();
        let process = |vm: &member::Vm| Process {
            leases: Leases::new(vm.name.clone(), 1, at(0).before(PROMISE_DURATION)),
            start: 1,
            clock_permille: rng.u64(900..=1_100),
            paused_until: 0,
            uncounted: 0,
            claims: false,
            witnesses: (0..sets.common + sets.min_others).collect(),
        };
        let processes = vms.iter().map(process).collect();
        let targets = vec![target(0), target(1)];
        let (network, observed) = (Vec::new(), Vec::new());
        Self { disabled, sets, now: 0, vms, targets, processes, network, observed, obtained: 0 }
    }

    /// The time on the clock of `entry`.
    fn clock(&self, entry: usize) -> Instant {
        let process = &self.processes[entry];
        Instant::from_nanos(
            START_NANOS + (self.now - process.uncounted) * process.clock_permille / 1_000,
        )
    }

    fn is_paused(&self, entry: usize) -> bool {
        self.now < self.processes[entry].paused_until
    }

    /// Does the random step that `kind` selects.
    fn step(&mut self, kind: u8, entry: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let entry = entry % self.processes.len();
        match kind {
            0..24 => self.now += rng.u64(0..600) * NANOS_PER_MILLI,
            24..42 => (0..CLAIMANT_COUNT).for_each(|entry| self.claim(entry)),
            42..82 => self.deliver(&mut rng),
            82..89 => self.change_holder(entry % CLAIMANT_COUNT, &mut rng),
            89..93 => self.pause(entry, rng.u64(0..6_000) * NANOS_PER_MILLI),
            93..96 => {
                self.restart(entry);
                (0..self.processes.len())
                    .filter(|_| rng.u8(0..4) == 0)
                    .for_each(|e| self.restart(e));
            }
            _ => self.change_list(entry, &mut rng),
        }
    }

    fn claim(&mut self, entry: usize) {
        if self.is_paused(entry) || !self.processes[entry].claims {
            return;
        }
        let now = self.clock(entry);
        let process = &mut self.processes[entry];
        let witnesses: Vec<_> = process.witnesses.iter().map(|index| &self.vms[*index]).collect();
        let wanted = self.targets.iter().map(|target| (target, witnesses.as_slice()));
        let batches = process.leases.begin_round(now, wanted);
        self.send(entry, batches);
    }

    fn release(&mut self, entry: usize) {
        let now = self.clock(entry);
        let owner = (entry, self.processes[entry].start);
        let mut batches = self.processes[entry].leases.release(now, &self.targets);
        if self.disabled == DisabledRule::ReleaseRounds {
            batches.iter_mut().for_each(|batch| batch.round = u64::MAX);
        }
        self.observed.retain(|lease| lease.owner != owner);
        self.send(entry, batches);
    }

    fn send(&mut self, entry: usize, batches: Vec<Batch>) {
        let from = (entry, self.processes[entry].start);
        for batch in batches {
            let to = self.vms.iter().position(|vm| vm.name == batch.witness).unwrap();
            self.network.push(Message { from, to, batch, answer: None, clock_read: None });
        }
    }

    /// Delivers messages in random order, loses or duplicates some, and leaves the rest for later.
    fn deliver(&mut self, rng: &mut Rng) {
        let mut messages = std::mem::take(&mut self.network);
        rng.shuffle(&mut messages);
        let delivery_percent = rng.u8(30..90);
        for message in messages {
            let receiver = if message.answer.is_some() { message.from.0 } else { message.to };
            match rng.u8(0..100) {
                _ if self.is_paused(receiver) => self.network.push(message),
                draw if draw < delivery_percent => self.receive(message),
                90..95 => (),
                95.. => {
                    self.network.push(Message { clock_read: None, ..message.clone() });
                    self.receive(message);
                }
                _ => self.network.push(message),
            }
        }
    }

    fn receive(&mut self, mut message: Message) {
        let (claimant, start) = message.from;
        if let Some(answer) = message.answer {
            if self.disabled == DisabledRule::CountFromSending {
                message.batch.started_at = self.clock(claimant);
            }
            let process = &mut self.processes[claimant];
            if process.start == start {
                process.leases.record_grant(
                    &message.batch,
                    message.batch.witness.as_str(),
                    &answer,
                );
            }
            return;
        }
        let now = message.clock_read.unwrap_or_else(|| self.clock(message.to));
        let incarnation = if self.disabled == DisabledRule::Incarnations { 1 } else { start };
        let (name, round) = (&self.vms[claimant].name, message.batch.round);
        let claimant = Claimant { name, incarnation, round };
        let leases = &mut self.processes[message.to].leases;
        let answer =
            leases.answer_claim(now, claimant, &message.batch.claimed, &message.batch.released);
        self.network.push(Message { answer: Some(answer), clock_read: None, ..message });
    }

    /// Makes `entry` claim the servers. Most other claimants stop, with or without a release.
    fn change_holder(&mut self, entry: usize, rng: &mut Rng) {
        for other in 0..CLAIMANT_COUNT {
            let stays = rng.u8(0..4) == 0;
            self.processes[other].claims = other == entry || stays;
            if !self.processes[other].claims && !self.is_paused(other) && rng.bool() {
                self.release(other);
            }
        }
        if rng.u8(0..4) == 0 && !self.is_paused(entry) {
            self.release(entry);
            self.claim(entry);
        }
    }

    /// Suspends `entry` for `length`, possibly between reading its clock and handling a message.
    fn pause(&mut self, entry: usize, length: u64) {
        if self.is_paused(entry) {
            return;
        }
        let read = self.clock(entry);
        let handled =
            self.network.iter_mut().find(|message| message.to == entry && message.answer.is_none());
        if let Some(message) = handled {
            message.clock_read.get_or_insert(read);
        }
        self.processes[entry].paused_until = self.now + length;
        if self.disabled == DisabledRule::CountSuspendedTime {
            self.now += length;
            self.processes[entry].uncounted += length;
        }
    }

    fn restart(&mut self, entry: usize) {
        let start = self.clock(entry);
        let process = &mut self.processes[entry];
        process.start += 1;
        let promises_since = match self.disabled {
            DisabledRule::NoPromisesAfterStart => start.before(PROMISE_DURATION),
            _ => start,
        };
        let incarnation =
            if self.disabled == DisabledRule::Incarnations { 1 } else { process.start };
        process.leases = Leases::new(self.vms[entry].name.clone(), incarnation, promises_since);
        process.paused_until = 0;
        self.network.retain(|message| message.to != entry || message.clock_read.is_none());
    }

    fn change_list(&mut self, entry: usize, rng: &mut Rng) {
        let WitnessSets { common, min_others, max_others, others } = self.sets;
        let count = rng.usize(min_others..=max_others);
        let chosen = rng.choose_multiple(common..common + others, count);
        self.processes[entry].witnesses = (0..common).chain(chosen).collect();
    }

    /// Checks that no two entries, and no two processes of an entry, have a lease on the same
    /// server. Requests sent under a lease may run until its end, so it counts after a restart.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        self.observed.retain(|lease| lease.until > now);
        for entry in 0..CLAIMANT_COUNT {
            for target in 0..self.targets.len() {
                self.check_lease(entry, target)?;
            }
        }
        Ok(())
    }

    fn check_lease(&mut self, entry: usize, target: usize) -> Result<(), TestCaseError> {
        let process = &self.processes[entry];
        let until = process.leases.valid_until(&self.targets[target], self.clock(entry));
        let Some(until) = until.filter(|_| !self.is_paused(entry)) else {
            return Ok(());
        };
        let owner = (entry, process.start);
        let until =
            (until.as_nanos() - START_NANOS) * 1_000 / process.clock_permille + process.uncounted;
        match self.observed.iter_mut().find(|lease| lease.target == target) {
            Some(lease) => {
                prop_assert_eq!(lease.owner, owner, "two leases at {}", self.now);
                lease.until = lease.until.max(until);
            }
            None => {
                self.observed.push(Lease { target, owner, until });
                self.obtained += 1;
            }
        }
        Ok(())
    }
}

/// Runs simulations of random steps until a check fails. Returns the number of leases obtained.
fn run_cases(cases: u32, disabled: DisabledRule, sets: WitnessSets) -> Result<usize, String> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec((0_u8..100, 0_usize..100, any::<u64>()), 600);
    let obtained = std::cell::Cell::new(0);
    let result =
        TestRunner::new_with_rng(config, rng).run(&(any::<u64>(), steps), |(seed, steps)| {
            let mut simulation = Simulation::new(disabled, sets, seed);
            simulation.change_holder(0, &mut Rng::with_seed(seed));
            for (kind, entry, seed) in steps {
                simulation.step(kind, entry, seed);
                simulation.check()?;
            }
            obtained.set(obtained.get() + simulation.obtained);
            Ok(())
        });
    result.map(|()| obtained.get()).map_err(|error| match error {
        TestError::Fail(reason, _) => reason.to_string(),
        TestError::Abort(reason) => format!("not run: {reason}"),
    })
}

/// Guards against two entries that send to a cold server at once (invariant I2), for each size of
/// witness sets and the largest difference that the quorum rule covers.
#[rstest]
#[case::three(WitnessSets { common: 3, min_others: 0, max_others: 0, others: 2 })]
#[case::four(WitnessSets { common: 3, min_others: 1, max_others: 1, others: 3 })]
#[case::five(WitnessSets { common: 3, min_others: 2, max_others: 2, others: 4 })]
#[case::five_to_seven(WitnessSets { common: 5, min_others: 0, max_others: 2, others: 4 })]
#[case::seven(WitnessSets { common: 5, min_others: 2, max_others: 2, others: 4 })]
fn no_two_entries_have_a_lease(#[case] sets: WitnessSets) {
    let obtained = run_cases(CASES, DisabledRule::None, sets).unwrap();
    println!("{sets:?}: {obtained} leases obtained");
    assert!(
        obtained > 2 * CASES as usize,
        "only {obtained} leases were obtained, the runs show little"
    );
}

/// Guards against a check of leases that passes whatever the rules are: if any one of them is
/// disabled, the check must find two leases.
#[rstest]
#[case::no_promises_after_start(DisabledRule::NoPromisesAfterStart, 2)]
#[case::incarnations(DisabledRule::Incarnations, 2)]
#[case::count_suspended_time(DisabledRule::CountSuspendedTime, 2)]
#[case::count_from_sending(DisabledRule::CountFromSending, 2)]
#[case::release_rounds(DisabledRule::ReleaseRounds, 2)]
#[case::similar_lists(DisabledRule::None, 3)]
fn a_disabled_rule_is_detected(#[case] disabled: DisabledRule, #[case] replaced: usize) {
    let sets = WitnessSets {
        common: 7 - replaced,
        min_others: replaced,
        max_others: replaced,
        others: 2 * replaced,
    };
    let found = run_cases(CASES, disabled, sets).unwrap_err();
    assert!(found.contains("two leases"), "{found}");
}

fn claimant(name: &name::Vm, round: u64) -> Claimant<'_> {
    Claimant { name, incarnation: 1, round }
}

/// Guards against promises that grow without limit, and against promises that are removed before
/// they expire to make room for others.
#[test]
fn promises_are_bounded() {
    let (one, two) = (vm("one").name, vm("two").name);
    let mut promises = Promises::new(at(0).before(PROMISE_DURATION));
    let granted = |index: &usize| promises.promise(at(0), claimant(&one, 1), &target(*index));
    assert_eq!((0..MAX_PROMISES + 10).filter(granted).count(), MAX_PROMISES);
    assert!(!promises.promise(at(2_499), claimant(&two, 1), &target(0)));
    assert!(promises.promise(at(2_500), claimant(&two, 1), &target(0)));
    assert_eq!(promises.len(), 1);
}

/// Guards against claims that are renewed at each call, and against a lease that outlives a change
/// of more witnesses than the quorum rule covers.
#[test]
fn rounds_are_spaced_and_follow_the_list() {
    let vms: Vec<_> = (0..14).map(|index| vm(&format!("e{index}"))).collect();
    let (old, new): (Vec<_>, Vec<_>) = (vms[..7].iter().collect(), vms[5..12].iter().collect());
    let target = target(0);
    let mut leases = Leases::new(vms[0].name.clone(), 1, at(0).before(PROMISE_DURATION));
    let batches = leases.begin_round(at(0), [(&target, &old)]);
    assert_eq!(batches.len(), 6, "the promise of the holder itself needs no message");
    for batch in &batches[..4] {
        assert_eq!(leases.valid_until(&target, at(10)), None);
        leases.record_grant(batch, batch.witness.as_str(), &[true]);
    }
    assert_eq!(leases.valid_until(&target, at(10)), Some(at(0) + LEASE_DURATION));
    assert_eq!(leases.valid_until(&target, at(2_000)), None);
    assert!(leases.begin_round(at(499), [(&target, &old)]).is_empty());
    assert_eq!(leases.begin_round(at(500), [(&target, &old)]).len(), 6);
    assert_eq!(leases.begin_round(at(600), [(&target, &new)]).len(), 7);
    assert_eq!(leases.valid_until(&target, at(601)), None);
}

/// Guards against answers that count although they do not belong to the claim: from a VM other than
/// the receiver, or to a claim that was released.
#[test]
fn answers_to_other_claims_do_not_count() {
    let vms = [vm("e0"), vm("e1")];
    let (witnesses, target): (Vec<_>, _) = (vms.iter().collect(), target(0));
    let mut leases = Leases::new(vms[0].name.clone(), 1, at(0).before(PROMISE_DURATION));
    let first = leases.begin_round(at(0), [(&target, &witnesses)]);
    leases.record_grant(&first[0], "e2", &[true]);
    assert_eq!(leases.valid_until(&target, at(1)), None);
    assert_eq!(leases.release(at(2), [&target])[0].released.first(), Some(&target));
    let second = leases.begin_round(at(3), [(&target, &witnesses)]);
    leases.record_grant(&first[0], "e1", &[true]);
    assert_eq!(leases.valid_until(&target, at(4)), None);
    leases.record_grant(&second[0], "e1", &[true]);
    assert_eq!(leases.valid_until(&target, at(4)), Some(at(3) + LEASE_DURATION));
}

/// Guards against entries that keep each other from a quorum forever: all begin at once, each gets
/// some of the promises, and all continue to claim.
#[rstest]
#[case(2)]
#[case(3)]
#[case(7)]
fn a_split_vote_is_resolved(#[case] claimants: usize) {
    let vms: Vec<_> = (0..7).map(|index| vm(&format!("e{index}"))).collect();
    let (witnesses, target): (Vec<_>, _) = (vms.iter().collect(), target(0));
    let new_leases =
        |vm: &member::Vm| Leases::new(vm.name.clone(), 1, at(0).before(PROMISE_DURATION));
    let mut all_leases: Vec<_> = vms.iter().map(new_leases).collect();
    let mut first_lease = None;
    for round in 0..60 {
        let now = at(round * 500);
        let begin =
            |entry: usize| (entry, all_leases[entry].begin_round(now, [(&target, &witnesses)]));
        let sent: Vec<_> = (0..claimants).map(begin).collect();
        let pairs =
            sent.iter().flat_map(|(from, batches)| batches.iter().map(|batch| (*from, batch)));
        let mut pairs: Vec<_> = pairs.collect();
        Rng::with_seed(round).shuffle(&mut pairs);
        for (from, batch) in pairs {
            let to = vms.iter().position(|vm| vm.name == batch.witness).unwrap();
            let claimant = claimant(&vms[from].name, batch.round);
            let answer =
                all_leases[to].answer_claim(now, claimant, &batch.claimed, &batch.released);
            all_leases[from].record_grant(batch, batch.witness.as_str(), &answer);
        }
        let leased = all_leases.iter().any(|leases| leases.valid_until(&target, now).is_some());
        first_lease = first_lease.or(leased.then_some(round));
        assert!(
            leased || first_lease.is_none(),
            "the lease of round {first_lease:?} ended in round {round}"
        );
    }
    println!("{claimants} claimants: a lease in round {first_lease:?}");
    assert!((1..30).contains(&first_lease.unwrap()), "{first_lease:?}");
}
