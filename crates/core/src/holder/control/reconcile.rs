use std::sync::Arc;

use super::Control;
use super::holding::Holding;
use super::holding::holdings;
use crate::holder::event::Event;
use crate::holder::flow::Route;
use crate::holder::flow::Routes;
use crate::holder::intent::DocumentVersion;
use crate::holder::pool::HeldDiff;
use crate::holder::port::Ports;
use crate::name;
use crate::port::Clock;
use crate::time::Instant;

/// What the current routes were derived from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Basis {
    config: DocumentVersion,
    list: DocumentVersion,
    available: Vec<name::Vm>,
}

impl<O: Ports> Control<O> {
    /// Derives routes and held servers from the documents in force and the available entries, if
    /// either has changed.
    pub fn reconcile(&self) {
        let now = self.clock().now();
        let Some(intent) = self.tables.intent.snapshot() else {
            return;
        };
        // The entries are made known before it is asked which of them are available.
        if self.basis.lock().as_ref().map(|basis| basis.list) != Some(intent.list_version) {
            self.tables.peers.update_list(now, &intent.list);
        }
        let basis = Basis {
            config: intent.config_version,
            list: intent.list_version,
            available: self.available(now),
        };
        if self.basis.lock().replace(basis.clone()).as_ref() == Some(&basis) {
            return;
        }
        let own = &self.identity.vm;
        let available = |vm: &name::Vm| basis.available.binary_search(vm).is_ok();
        let holdings = holdings(&intent.config, &intent.list, own, available);
        let previous = self.tables.routes();
        let mut routes = Vec::new();
        for (name, settings) in intent.config.services() {
            let before = previous.get(name.as_str());
            let empty = Holding::default();
            let holding = holdings.get(name).unwrap_or(&empty);
            let route = Route::new(name, settings, holding.eligible, before.as_deref());
            self.report(name, &route.pool().set_held(now, &holding.specs));
            routes.push((name.clone(), Arc::new(route)));
        }
        let routes = Routes::new(routes, &intent.list);
        for (name, route) in previous.iter().filter(|(name, _)| routes.get(name.as_str()).is_none())
        {
            self.report(name, &route.pool().set_held(now, &[]));
        }
        self.tables.set_routes(Arc::new(routes));
        self.tables.claim_needed.notify_one();
    }

    /// The entries that may hold servers, by name.
    fn available(&self, now: Instant) -> Vec<name::Vm> {
        let mut available = self.tables.peers.all_available(now);
        if self.tables.gate.is_leaving() {
            available.retain(|vm| *vm != self.identity.vm);
        }
        available
    }

    fn report(&self, service: &name::Service, held: &HeldDiff) {
        let event = |vm: &name::Vm, event: fn(name::Service, name::Vm) -> Event| {
            self.record(event(service.clone(), vm.clone()));
        };
        held.added.iter().for_each(|vm| event(vm, Event::Held));
        held.removed.iter().for_each(|vm| event(vm, Event::Released));
        held.included.iter().for_each(|vm| event(vm, Event::Included));
        for (vm, why) in &held.excluded {
            self.record(Event::Excluded(service.clone(), vm.clone(), why.to_string()));
        }
    }
}
