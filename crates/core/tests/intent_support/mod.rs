//! Helpers shared by the tests of documents, members, readiness and the time line.
#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(unused_imports, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "only tests use this module; their inputs are constants")]

use std::sync::Mutex;

use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngSeed;

use jackdawpin_core::holder::config::Builder;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::holder::port::Journal;
use jackdawpin_core::name;
use jackdawpin_core::time::Instant;

pub use jackdawpin_core::holder::event::Event;
pub use jackdawpin_core::holder::event::Stamp;
pub use jackdawpin_core::holder::intent::DocumentTable;
pub use jackdawpin_core::holder::intent::DocumentVersion;
pub use jackdawpin_core::holder::intent::PlatformReads;
pub use jackdawpin_core::holder::intent::Source;
pub use jackdawpin_core::holder::member::Heartbeat;
pub use jackdawpin_core::holder::member::HeartbeatKind;
pub use jackdawpin_core::holder::member::Peers;
pub use proptest::prelude::*;
pub use rstest::rstest;

/// A journal that keeps events in memory.
#[derive(Debug, Default)]
pub struct Events(Mutex<Vec<Event>>);

impl Events {
    /// Returns the events recorded since the last call.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut self.0.lock().unwrap())
    }
}

impl Journal for Events {
    fn record(&self, event: Event) {
        self.0.lock().unwrap().push(event);
    }
}

/// A configuration of `cases` property cases with a fixed seed.
pub fn deterministic(cases: u32) -> RunnerConfig {
    RunnerConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..RunnerConfig::default()
    }
}

/// A point in time, in milliseconds since 0.
pub fn at(millis: u64) -> Instant {
    Instant::from_nanos(millis * 1_000_000)
}

pub fn vm(name: &str) -> name::Vm {
    name::Vm::try_from(name).unwrap()
}

pub fn service(name: &str) -> name::Service {
    name::Service::try_from(name).unwrap()
}

pub fn config(revision: u64) -> Config {
    Builder::new(revision, Policy::default()).unwrap().build()
}

/// A VM list of entries. A `-` before the name marks an entry that is leaving.
pub fn list(version: u64, entries: &[&str]) -> VmList {
    let address = "127.0.0.1:1".parse().unwrap();
    let entry = |text: &&str| Vm {
        name: vm(text.trim_start_matches('-')),
        role: Role::Entry { caller: address, control: address },
        domain: name::Domain::try_from("d1").unwrap(),
        region: name::Region::try_from("r1").unwrap(),
        state: if text.starts_with('-') { VmState::Leaving } else { VmState::Live },
    };
    VmList::new(version, entries.iter().map(entry).collect()).unwrap()
}

/// A heartbeat of a ready entry without documents and servers. `clock` is the stamp in
/// milliseconds.
pub fn heartbeat(incarnation: u64, clock: u64) -> Heartbeat {
    Heartbeat {
        incarnation,
        clock: Stamp { millis: clock, counter: 0 },
        ready: true,
        leaving: false,
        config_version: None,
        list_version: None,
        capacity: Vec::new(),
    }
}
