//! Exclusivity of leases in randomised runs over an in-memory set of entries.
//!
//! A run delays, loses, repeats and reorders messages, pauses and restarts entries, gives their
//! clocks different rates, and lets their VM lists differ as far as the quorum rule allows.

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
use jackdawpin_core::holder::lease::HOLD;
use jackdawpin_core::holder::lease::LIFETIME;
use jackdawpin_core::holder::lease::Leases;
use jackdawpin_core::holder::lease::MAX_PROMISES;
use jackdawpin_core::holder::lease::Promises;
use jackdawpin_core::holder::lease::Target;
use jackdawpin_core::holder::member;
use jackdawpin_core::name;
use jackdawpin_core::time::Instant;

const MILLI: u64 = 1_000_000;

/// Time on every clock when a run starts; late enough to start a witness earlier.
const ORIGIN: u64 = 1_000_000 * MILLI;

/// Entries that claim; all entries are witnesses.
const CLAIMANTS: usize = 3;

/// Runs per test. 250 are enough to notice each rule that is left out.
const CASES: u32 = 800;

/// A rule that a run leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    SilenceAfterStart,
    Incarnations,
    SuspendedTime,
    TimeOfSending,
    RoundOfRelease,
}

/// The VM lists of a run: each names the first `common` entries as witnesses, and between `least`
/// and `most` of the next `others`.
#[derive(Debug, Clone, Copy)]
struct Lists {
    common: usize,
    least: usize,
    most: usize,
    others: usize,
}

struct Process {
    table: Leases,
    start: u64,
    /// Rate of the clock, in thousandths of true time.
    rate: u64,
    paused_until: u64,
    /// Suspended time that the clock does not count.
    uncounted: u64,
    wants: bool,
    witnesses: Vec<usize>,
}

#[derive(Clone)]
struct Message {
    from: (usize, u64),
    to: usize,
    batch: Batch,
    answer: Option<Vec<bool>>,
    /// When the receiver read its clock, if it was paused while it handled the message.
    read: Option<Instant>,
}

struct Lease {
    target: usize,
    owner: (usize, u64),
    until: u64,
}

struct Run {
    without: Without,
    lists: Lists,
    now: u64,
    vms: Vec<member::Vm>,
    targets: Vec<Target>,
    processes: Vec<Process>,
    network: Vec<Message>,
    leases: Vec<Lease>,
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
    Instant::from_nanos(ORIGIN + millis * MILLI)
}

impl Run {
    fn new(without: Without, lists: Lists, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vms: Vec<_> = (0..lists.common + lists.others).map(|i| vm(&format!("e{i}"))).collect();
        let process = |vm: &member::Vm| Process {
            table: Leases::new(vm.name.clone(), 1, at(0).before(HOLD)),
            start: 1,
            rate: rng.u64(900..=1_100),
            paused_until: 0,
            uncounted: 0,
            wants: false,
            witnesses: (0..lists.common + lists.least).collect(),
        };
        let processes = vms.iter().map(process).collect();
        let targets = vec![target(0), target(1)];
        let (network, leases) = (Vec::new(), Vec::new());
        Self { without, lists, now: 0, vms, targets, processes, network, leases, obtained: 0 }
    }

    fn clock(&self, entry: usize) -> Instant {
        let process = &self.processes[entry];
        Instant::from_nanos(ORIGIN + (self.now - process.uncounted) * process.rate / 1_000)
    }

    fn paused(&self, entry: usize) -> bool {
        self.now < self.processes[entry].paused_until
    }

    fn step(&mut self, kind: u8, entry: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let entry = entry % self.processes.len();
        match kind {
            0..24 => self.now += rng.u64(0..600) * MILLI,
            24..42 => (0..CLAIMANTS).for_each(|entry| self.claim(entry)),
            42..82 => self.deliver(&mut rng),
            82..89 => self.change_holder(entry % CLAIMANTS, &mut rng),
            89..93 => self.pause(entry, rng.u64(0..6_000) * MILLI),
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
        if self.paused(entry) || !self.processes[entry].wants {
            return;
        }
        let now = self.clock(entry);
        let process = &mut self.processes[entry];
        let witnesses: Vec<_> = process.witnesses.iter().map(|index| &self.vms[*index]).collect();
        let wanted = self.targets.iter().map(|target| (target, witnesses.as_slice()));
        let batches = process.table.begin_round(now, wanted);
        self.send(entry, batches);
    }

    fn release(&mut self, entry: usize) {
        let now = self.clock(entry);
        let owner = (entry, self.processes[entry].start);
        let mut batches = self.processes[entry].table.release(now, &self.targets);
        if self.without == Without::RoundOfRelease {
            batches.iter_mut().for_each(|batch| batch.round = u64::MAX);
        }
        self.leases.retain(|lease| lease.owner != owner);
        self.send(entry, batches);
    }

    fn send(&mut self, entry: usize, batches: Vec<Batch>) {
        let from = (entry, self.processes[entry].start);
        for batch in batches {
            let to = self.vms.iter().position(|vm| vm.name == batch.witness).unwrap();
            self.network.push(Message { from, to, batch, answer: None, read: None });
        }
    }

    /// Delivers most messages in any order, loses or repeats some, and leaves the rest for later.
    fn deliver(&mut self, rng: &mut Rng) {
        let mut messages = std::mem::take(&mut self.network);
        rng.shuffle(&mut messages);
        let delivered = rng.u8(30..90);
        for message in messages {
            let receiver = if message.answer.is_some() { message.from.0 } else { message.to };
            match rng.u8(0..100) {
                _ if self.paused(receiver) => self.network.push(message),
                chance if chance < delivered => self.receive(message),
                90..95 => (),
                95.. => {
                    self.network.push(Message { read: None, ..message.clone() });
                    self.receive(message);
                }
                _ => self.network.push(message),
            }
        }
    }

    fn receive(&mut self, mut message: Message) {
        let (claimant, start) = message.from;
        if let Some(answer) = message.answer {
            if self.without == Without::TimeOfSending {
                message.batch.begun = self.clock(claimant);
            }
            let process = &mut self.processes[claimant];
            if process.start == start {
                process.table.record_grant(&message.batch, message.batch.witness.as_str(), &answer);
            }
            return;
        }
        let now = message.read.unwrap_or_else(|| self.clock(message.to));
        let incarnation = if self.without == Without::Incarnations { 1 } else { start };
        let (name, round) = (&self.vms[claimant].name, message.batch.round);
        let claimant = Claimant { name, incarnation, round };
        let table = &mut self.processes[message.to].table;
        let answer =
            table.answer_claim(now, claimant, &message.batch.claimed, &message.batch.released);
        self.network.push(Message { answer: Some(answer), read: None, ..message });
    }

    /// Makes `entry` want the servers; the others mostly stop, with or without a release.
    fn change_holder(&mut self, entry: usize, rng: &mut Rng) {
        for other in 0..CLAIMANTS {
            let stays = rng.u8(0..4) == 0;
            self.processes[other].wants = other == entry || stays;
            if !self.processes[other].wants && !self.paused(other) && rng.bool() {
                self.release(other);
            }
        }
        if rng.u8(0..4) == 0 && !self.paused(entry) {
            self.release(entry);
            self.claim(entry);
        }
    }

    /// Pauses `entry`, possibly between reading its clock and handling a message.
    fn pause(&mut self, entry: usize, length: u64) {
        if self.paused(entry) {
            return;
        }
        let read = self.clock(entry);
        let handled =
            self.network.iter_mut().find(|message| message.to == entry && message.answer.is_none());
        if let Some(message) = handled {
            message.read.get_or_insert(read);
        }
        self.processes[entry].paused_until = self.now + length;
        if self.without == Without::SuspendedTime {
            self.now += length;
            self.processes[entry].uncounted += length;
        }
    }

    fn restart(&mut self, entry: usize) {
        let start = self.clock(entry);
        let process = &mut self.processes[entry];
        process.start += 1;
        let silent_since = match self.without {
            Without::SilenceAfterStart => start.before(HOLD),
            _ => start,
        };
        let incarnation = if self.without == Without::Incarnations { 1 } else { process.start };
        process.table = Leases::new(self.vms[entry].name.clone(), incarnation, silent_since);
        process.paused_until = 0;
        self.network.retain(|message| message.to != entry || message.read.is_none());
    }

    fn change_list(&mut self, entry: usize, rng: &mut Rng) {
        let Lists { common, least, most, others } = self.lists;
        let count = rng.usize(least..=most);
        let chosen = rng.choose_multiple(common..common + others, count);
        self.processes[entry].witnesses = (0..common).chain(chosen).collect();
    }

    /// Checks that no two entries, and no two starts of an entry, have a lease on the same server.
    /// Requests sent under a lease may run until its end, so a lease outlives its process.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        self.leases.retain(|lease| lease.until > now);
        for entry in 0..CLAIMANTS {
            for target in 0..self.targets.len() {
                self.check_lease(entry, target)?;
            }
        }
        Ok(())
    }

    fn check_lease(&mut self, entry: usize, target: usize) -> Result<(), TestCaseError> {
        let process = &self.processes[entry];
        let until = process.table.valid_until(&self.targets[target], self.clock(entry));
        let Some(until) = until.filter(|_| !self.paused(entry)) else {
            return Ok(());
        };
        let owner = (entry, process.start);
        let until = (until.as_nanos() - ORIGIN) * 1_000 / process.rate + process.uncounted;
        match self.leases.iter_mut().find(|lease| lease.target == target) {
            Some(lease) => {
                prop_assert_eq!(lease.owner, owner, "two leases at {}", self.now);
                lease.until = lease.until.max(until);
            }
            None => {
                self.leases.push(Lease { target, owner, until });
                self.obtained += 1;
            }
        }
        Ok(())
    }
}

/// Runs random steps until a check fails. Returns the number of leases obtained.
fn explore(cases: u32, without: Without, lists: Lists) -> Result<usize, String> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec((0_u8..100, 0_usize..100, any::<u64>()), 600);
    let obtained = std::cell::Cell::new(0);
    let result =
        TestRunner::new_with_rng(config, rng).run(&(any::<u64>(), steps), |(seed, steps)| {
            let mut run = Run::new(without, lists, seed);
            run.change_holder(0, &mut Rng::with_seed(seed));
            for (kind, entry, seed) in steps {
                run.step(kind, entry, seed);
                run.check()?;
            }
            obtained.set(obtained.get() + run.obtained);
            Ok(())
        });
    result.map(|()| obtained.get()).map_err(|error| match error {
        TestError::Fail(reason, _) => reason.to_string(),
        TestError::Abort(reason) => format!("not run: {reason}"),
    })
}

/// Guards against two entries sending to a cold server at once (I2), for each size of witness sets
/// and the largest difference that the quorum rule covers.
#[rstest]
#[case::three(Lists { common: 3, least: 0, most: 0, others: 2 })]
#[case::four(Lists { common: 3, least: 1, most: 1, others: 3 })]
#[case::five(Lists { common: 3, least: 2, most: 2, others: 4 })]
#[case::five_to_seven(Lists { common: 5, least: 0, most: 2, others: 4 })]
#[case::seven(Lists { common: 5, least: 2, most: 2, others: 4 })]
fn no_two_entries_have_a_lease(#[case] lists: Lists) {
    let obtained = explore(CASES, Without::Nothing, lists).unwrap();
    println!("{lists:?}: {obtained} leases obtained");
    assert!(
        obtained > 2 * CASES as usize,
        "only {obtained} leases were obtained, the runs show little"
    );
}

/// Guards against the check above passing whatever the rules are: without any one of them, it must
/// find two leases.
#[rstest]
#[case::silence(Without::SilenceAfterStart, 2)]
#[case::incarnations(Without::Incarnations, 2)]
#[case::suspended_time(Without::SuspendedTime, 2)]
#[case::time_of_sending(Without::TimeOfSending, 2)]
#[case::round_of_release(Without::RoundOfRelease, 2)]
#[case::similar_lists(Without::Nothing, 3)]
fn a_missing_rule_is_noticed(#[case] without: Without, #[case] replaced: usize) {
    let lists =
        Lists { common: 7 - replaced, least: replaced, most: replaced, others: 2 * replaced };
    let found = explore(CASES, without, lists).unwrap_err();
    assert!(found.contains("two leases"), "{found}");
}

fn claimant(name: &name::Vm, round: u64) -> Claimant<'_> {
    Claimant { name, incarnation: 1, round }
}

/// Guards against a table of promises that grows without limit, and against one that makes room by
/// dropping promises that stand.
#[test]
fn promises_are_bounded() {
    let (one, two) = (vm("one").name, vm("two").name);
    let mut promises = Promises::new(at(0).before(HOLD));
    let granted = |index: &usize| promises.promise(at(0), claimant(&one, 1), &target(*index));
    assert_eq!((0..MAX_PROMISES + 10).filter(granted).count(), MAX_PROMISES);
    assert!(!promises.promise(at(2_499), claimant(&two, 1), &target(0)));
    assert!(promises.promise(at(2_500), claimant(&two, 1), &target(0)));
    assert_eq!(promises.len(), 1);
}

/// Guards against renewing each server at each call, and against keeping the lease of a server
/// whose witnesses changed by more than the quorum covers.
#[test]
fn rounds_are_spaced_and_follow_the_list() {
    let vms: Vec<_> = (0..14).map(|index| vm(&format!("e{index}"))).collect();
    let (old, new): (Vec<_>, Vec<_>) = (vms[..7].iter().collect(), vms[5..12].iter().collect());
    let target = target(0);
    let mut table = Leases::new(vms[0].name.clone(), 1, at(0).before(HOLD));
    let batches = table.begin_round(at(0), [(&target, &old)]);
    assert_eq!(batches.len(), 6, "the own promise needs no message");
    for batch in &batches[..4] {
        assert_eq!(table.valid_until(&target, at(10)), None);
        table.record_grant(batch, batch.witness.as_str(), &[true]);
    }
    assert_eq!(table.valid_until(&target, at(10)), Some(at(0) + LIFETIME));
    assert_eq!(table.valid_until(&target, at(2_000)), None);
    assert!(table.begin_round(at(499), [(&target, &old)]).is_empty());
    assert_eq!(table.begin_round(at(500), [(&target, &old)]).len(), 6);
    assert_eq!(table.begin_round(at(600), [(&target, &new)]).len(), 7);
    assert_eq!(table.valid_until(&target, at(601)), None);
}

/// Guards against counting answers that do not belong to the claim: from another VM than the one
/// asked, or to a claim that was released.
#[test]
fn foreign_answers_do_not_count() {
    let vms = [vm("e0"), vm("e1")];
    let (witnesses, target): (Vec<_>, _) = (vms.iter().collect(), target(0));
    let mut table = Leases::new(vms[0].name.clone(), 1, at(0).before(HOLD));
    let first = table.begin_round(at(0), [(&target, &witnesses)]);
    table.record_grant(&first[0], "e2", &[true]);
    assert_eq!(table.valid_until(&target, at(1)), None);
    assert_eq!(table.release(at(2), [&target])[0].released.first(), Some(&target));
    let second = table.begin_round(at(3), [(&target, &witnesses)]);
    table.record_grant(&first[0], "e1", &[true]);
    assert_eq!(table.valid_until(&target, at(4)), None);
    table.record_grant(&second[0], "e1", &[true]);
    assert_eq!(table.valid_until(&target, at(4)), Some(at(3) + LIFETIME));
}

/// Guards against entries that keep each other from a quorum for ever: all begin at once, each gets
/// some of the promises, and all go on claiming.
#[rstest]
#[case(2)]
#[case(3)]
#[case(7)]
fn a_split_vote_ends(#[case] claimants: usize) {
    let vms: Vec<_> = (0..7).map(|index| vm(&format!("e{index}"))).collect();
    let (witnesses, target): (Vec<_>, _) = (vms.iter().collect(), target(0));
    let table = |vm: &member::Vm| Leases::new(vm.name.clone(), 1, at(0).before(HOLD));
    let mut tables: Vec<_> = vms.iter().map(table).collect();
    let mut ended = None;
    for round in 0..60 {
        let now = at(round * 500);
        let begin = |entry: usize| (entry, tables[entry].begin_round(now, [(&target, &witnesses)]));
        let sent: Vec<_> = (0..claimants).map(begin).collect();
        let pairs = sent.iter().flat_map(|(from, batches)| batches.iter().map(|b| (*from, b)));
        let mut pairs: Vec<_> = pairs.collect();
        Rng::with_seed(round).shuffle(&mut pairs);
        for (from, batch) in pairs {
            let to = vms.iter().position(|vm| vm.name == batch.witness).unwrap();
            let claimant = claimant(&vms[from].name, batch.round);
            let answer = tables[to].answer_claim(now, claimant, &batch.claimed, &batch.released);
            tables[from].record_grant(batch, batch.witness.as_str(), &answer);
        }
        let leased = tables.iter().any(|table| table.valid_until(&target, now).is_some());
        ended = ended.or(leased.then_some(round));
        assert!(leased || ended.is_none(), "the lease of round {ended:?} ended in round {round}");
    }
    println!("{claimants} claimants: a lease in round {ended:?}");
    assert!((1..30).contains(&ended.unwrap()), "{ended:?}");
}
