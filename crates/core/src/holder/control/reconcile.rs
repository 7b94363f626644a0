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

/// The inputs from which routes are derived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RouteInputs {
    config_version: DocumentVersion,
    list_version: DocumentVersion,
    /// The entries that may hold servers, sorted by name.
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
        // The peer table needs the list before it can tell which entries are available.
        if self.route_inputs.lock().as_ref().map(|inputs| inputs.list_version)
            != Some(intent.list_version)
        {
            self.tables.peers.update_list(now, &intent.list);
        }
        let inputs = RouteInputs {
            config_version: intent.config_version,
            list_version: intent.list_version,
            available: self.available(now),
        };
        if self.route_inputs.lock().replace(inputs.clone()).as_ref() == Some(&inputs) {
            return;
        }
        let own = &self.identity.vm;
        let available = |vm: &name::Vm| inputs.available.binary_search(vm).is_ok();
        let holdings = holdings(&intent.config, &intent.list, own, available);
        let previous = self.tables.routes();
        let mut routes = Vec::new();
        for (name, settings) in intent.config.services() {
            let previous_route = previous.get(name.as_str());
            let empty = Holding::default();
            let holding = holdings.get(name).unwrap_or(&empty);
            let route = Route::new(name, settings, holding.eligible, previous_route.as_deref());
            self.record_changes(name, &route.pool().set_held(now, &holding.specs));
            routes.push((name.clone(), Arc::new(route)));
        }
        let routes = Routes::new(routes, &intent.list);
        for (name, route) in previous.iter().filter(|(name, _)| routes.get(name.as_str()).is_none())
        {
            self.record_changes(name, &route.pool().set_held(now, &[]));
        }
        self.tables.set_routes(Arc::new(routes));
        self.tables.claim_needed.notify_one();
    }

    /// The entries that may hold servers, sorted by name.
    fn available(&self, now: Instant) -> Vec<name::Vm> {
        let mut available = self.tables.peers.all_available(now);
        if self.tables.gate.is_leaving() {
            available.retain(|vm| *vm != self.identity.vm);
        }
        available
    }

    /// Records the changes of the held servers on the time line.
    fn record_changes(&self, service: &name::Service, changes: &HeldDiff) {
        let record = |vm: &name::Vm, event: fn(name::Service, name::Vm) -> Event| {
            self.record(event(service.clone(), vm.clone()));
        };
        changes.added.iter().for_each(|vm| record(vm, Event::Held));
        changes.removed.iter().for_each(|vm| record(vm, Event::Released));
        changes.included.iter().for_each(|vm| record(vm, Event::Included));
        for (vm, reason) in &changes.excluded {
            self.record(Event::Excluded(service.clone(), vm.clone(), reason.to_string()));
        }
    }
}
