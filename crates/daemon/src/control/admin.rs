use std::time::Duration;

use http::Uri;

use super::Error;
use super::Listener;
use crate::peer::convert;
use crate::query;
use jackdawpin_core::holder::config::Origin;
use jackdawpin_core::holder::event::Record;
use jackdawpin_core::holder::flow::Route;
use jackdawpin_core::holder::intent::Intent;
use jackdawpin_core::holder::intent::Refusal;
use jackdawpin_core::holder::lease::Target;
use jackdawpin_core::holder::ledger::Totals;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::holder::pool::ServerStatus;
use jackdawpin_core::holder::pool::Warmth;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::holder::rank;
use jackdawpin_core::name;
use jackdawpin_core::port::Clock;
use jackdawpin_core::time::Instant;
use jackdawpin_wire as wire;

/// Events on a page of the time line.
const PAGE: usize = 256;

/// Unknown names that are told; the rest is only counted. The largest configuration has room for
/// some 20,000.
const MAX_UNKNOWN: usize = 32;

impl<O: Ports> Listener<O> {
    pub(super) fn status(&self) -> wire::Status {
        let now = self.router.clock().now();
        let tables = self.router.tables();
        let identity = self.control.identity();
        let (config, list) = (tables.intent.config_status(), tables.intent.list_status());
        let platform = tables.intent.platform_reads();
        wire::Status {
            vm: identity.vm.to_string(),
            domain: identity.domain.to_string(),
            program: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: identity.incarnation,
            uptime_ms: age(now, self.control.start()),
            ready: tables.gate.is_ready(),
            leaving: tables.gate.is_leaving(),
            fenced: tables.gate.is_fenced(now),
            platform_age_ms: platform.answered_at.map(|at| age(now, at)),
            config: config.accepted.map(|accepted| convert::order(accepted.version)),
            config_refused: config.refusal.as_ref().map(refused),
            vms: list.accepted.map(|accepted| convert::order(accepted.version)),
            vms_refused: list.refusal.as_ref().map(refused),
            unknown: tables.intent.snapshot().as_deref().map(unknown).unwrap_or_default(),
            entries: self.entries(now),
            services: self.services(now),
            totals: totals(&tables.ledger.sum()),
        }
    }

    pub(super) fn explain(&self, uri: &Uri) -> Result<wire::Explanation, Error> {
        let service = query::value(uri, "service").ok_or(Error::Query("service"))?;
        let server = query::value(uri, "server").ok_or(Error::Query("server"))?;
        let intent = self.router.tables().intent.snapshot();
        let intent = intent.ok_or(Error::Missing("the configuration"))?;
        let listed = intent.list.vm(&server).ok_or(Error::Missing("the server"))?;
        let of_service = |name: &name::Service| name.as_str() == service;
        if !matches!(&listed.role, Role::Server { service, .. } if of_service(service)) {
            return Err(Error::Missing("the server"));
        }
        let config = &intent.config;
        let settings = config.explain(&service, &listed.name, &listed.domain);
        let settings = settings.ok_or(Error::Missing("the service"))?;
        let out = config.out_reason(&service, &listed.name, &listed.domain);
        let now = self.router.clock().now();
        let holder =
            rank::holder(&intent.list, listed, |vm| self.router.tables().peers.available(vm, now));
        Ok(wire::Explanation {
            service: service.clone(),
            server: server.clone(),
            domain: listed.domain.to_string(),
            config: convert::order(intent.config_version),
            out: match listed.state {
                VmState::Leaving => Some("the VM list says that it is leaving".to_owned()),
                VmState::Live => out.map(|reason| reason.as_str().to_owned()),
            },
            holder: holder.map(|vm| vm.name.to_string()),
            settings: settings.iter().map(setting).collect(),
        })
    }

    pub(super) fn timeline(&self, uri: &Uri) -> Result<wire::TimelinePage, Error> {
        let after = match query::value(uri, "after") {
            None => 0,
            Some(text) => text.parse().map_err(|_| Error::Query("after"))?,
        };
        let (dropped, records) = self.router.tables().timeline.events_after(after, PAGE);
        let identity = self.control.identity();
        Ok(wire::TimelinePage {
            vm: identity.vm.to_string(),
            incarnation: identity.incarnation,
            dropped,
            events: records.iter().map(event).collect(),
        })
    }

    fn entries(&self, now: Instant) -> Vec<wire::PeerStatus> {
        let tables = self.router.tables();
        let routes = tables.routes();
        let entry = |known: jackdawpin_core::holder::member::PeerStatus| {
            let contact = routes.endpoints(&known.vm);
            wire::PeerStatus {
                vm: known.vm.to_string(),
                address: contact.map_or_else(String::new, |contact| contact.control.to_string()),
                leaving: known.listed_state == Some(VmState::Leaving),
                age_ms: known.last_heard.map(|at| age(now, at)),
            }
        };
        tables.peers.statuses().into_iter().map(entry).collect()
    }

    fn services(&self, now: Instant) -> Vec<wire::ServiceStatus> {
        let tables = self.router.tables();
        let routes = tables.routes();
        let mut services: Vec<_> =
            routes.iter().map(|(name, route)| self.service(now, name, route)).collect();
        services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        services
    }

    fn service(&self, now: Instant, name: &name::Service, route: &Route) -> wire::ServiceStatus {
        let (p50, p99) = self.telemetry.latency(name.as_str());
        let views = route.pool().statuses(now);
        wire::ServiceStatus {
            name: name.to_string(),
            waiting: u32::try_from(route.pool().waiting()).unwrap_or(u32::MAX),
            totals: totals(&self.router.tables().ledger.totals(name.as_str())),
            p50_us: micros(p50),
            p99_us: micros(p99),
            servers: views.iter().map(|view| self.server(name, view)).collect(),
        }
    }

    fn server(&self, service: &name::Service, view: &ServerStatus) -> wire::ServerStatus {
        let target = Target { service: service.clone(), server: view.vm.clone() };
        let (state, why) = state(view);
        wire::ServerStatus {
            vm: view.vm.to_string(),
            address: view.address.to_string(),
            domain: view.domain.to_string(),
            state: state.to_owned(),
            why,
            limit: view.limit,
            in_flight: view.in_flight,
            latency_us: micros(view.latency),
            probes: self.control.server_probes_sent(&target),
        }
    }
}

fn state(view: &ServerStatus) -> (&'static str, String) {
    if let Some(why) = &view.out_reason {
        return ("out", why.to_string());
    }
    let claim = if view.claimed { "claim confirmed" } else { "waits for a claim" };
    match view.warmth {
        Warmth::Cold(why) => ("cold", format!("{why}; {claim}")),
        Warmth::Warming => ("warming", claim.to_owned()),
        Warmth::Warm => ("warm", String::new()),
    }
}

fn unknown(intent: &Intent) -> Vec<String> {
    let unknown = intent.config.unknown_names(&intent.list);
    let mut texts: Vec<String> =
        unknown.iter().take(MAX_UNKNOWN).map(ToString::to_string).collect();
    if unknown.len() > MAX_UNKNOWN {
        texts.push(format!("and {} more", unknown.len() - MAX_UNKNOWN));
    }
    texts
}

fn refused(refusal: &Refusal) -> String {
    format!("{}: {}", refusal.version, refusal.reason)
}

fn setting(setting: &jackdawpin_core::holder::config::Setting<'_>) -> wire::Setting {
    let origin = match setting.origin {
        Origin::Default => wire::Origin::Default,
        Origin::Service => wire::Origin::Service,
        Origin::Exception(scope, reason) => {
            wire::Origin::Exception { scope: scope.to_string(), reason: reason.as_str().to_owned() }
        }
    };
    wire::Setting { field: setting.field.to_owned(), value: setting.value.clone(), origin }
}

fn event(record: &Record) -> wire::Event {
    wire::Event {
        number: record.number,
        stamp: convert::stamp(record.stamp),
        kind: record.event.kind().to_owned(),
        text: record.event.to_string(),
        service: record.event.service().map(ToString::to_string),
        vm: record.event.vm().map(ToString::to_string),
    }
}

fn totals(totals: &Totals) -> wire::Totals {
    wire::Totals {
        accepted: totals.accepted,
        answered: totals.answered,
        refused: totals.refused,
        unknown: totals.unknown,
        abandoned: totals.abandoned,
        in_flight: totals.in_flight,
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn age(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
