//! Answers for operators: status, explanation of settings, time line.

use std::time::Duration;

use http::Uri;

use super::Error;
use super::Handler;
use crate::peer::convert;
use crate::query;
use jackdawpin_core::holder::config::Origin;
use jackdawpin_core::holder::config::Setting;
use jackdawpin_core::holder::event::Record;
use jackdawpin_core::holder::flow::Route;
use jackdawpin_core::holder::intent::Intent;
use jackdawpin_core::holder::intent::Refusal;
use jackdawpin_core::holder::lease::Target;
use jackdawpin_core::holder::ledger::Totals;
use jackdawpin_core::holder::member::PeerStatus;
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

/// Largest number of events on one page of the time line.
const MAX_PAGE_EVENTS: usize = 256;

/// Largest number of names that a status lists of those in the configuration that the VM list does
/// not have; the rest is only counted. The largest configuration has room for some 20,000.
const MAX_UNKNOWN_NAMES: usize = 32;

impl<O: Ports> Handler<O> {
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
            uptime_ms: age_ms(now, self.control.start()),
            ready: tables.gate.is_ready(),
            leaving: tables.gate.is_leaving(),
            fenced: tables.gate.is_fenced(now),
            platform_age_ms: platform.answered_at.map(|at| age_ms(now, at)),
            config: config.accepted.map(|accepted| convert::version_to_wire(accepted.version)),
            config_refused: config.refusal.as_ref().map(refusal_text),
            vms: list.accepted.map(|accepted| convert::version_to_wire(accepted.version)),
            vms_refused: list.refusal.as_ref().map(refusal_text),
            unknown: tables.intent.snapshot().as_deref().map(unknown_names).unwrap_or_default(),
            entries: self.entries(now),
            services: self.services(now),
            totals: totals_to_wire(&tables.ledger.sum()),
        }
    }

    pub(super) fn explain(&self, uri: &Uri) -> Result<wire::Explanation, Error> {
        let service = query::value(uri, "service").ok_or(Error::Query("service"))?;
        let server = query::value(uri, "server").ok_or(Error::Query("server"))?;
        let intent = self.router.tables().intent.snapshot();
        let intent = intent.ok_or(Error::Missing("the configuration"))?;
        let listed = intent.list.vm(&server).ok_or(Error::Missing("the server"))?;
        let is_service = |name: &name::Service| name.as_str() == service;
        if !matches!(&listed.role, Role::Server { service, .. } if is_service(service)) {
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
            config: convert::version_to_wire(intent.config_version),
            out: match listed.state {
                VmState::Leaving => Some("the VM list says that it is leaving".to_owned()),
                VmState::Live => out.map(|reason| reason.as_str().to_owned()),
            },
            holder: holder.map(|vm| vm.name.to_string()),
            settings: settings.iter().map(setting_to_wire).collect(),
        })
    }

    pub(super) fn timeline(&self, uri: &Uri) -> Result<wire::TimelinePage, Error> {
        let after = match query::value(uri, "after") {
            None => 0,
            Some(text) => text.parse().map_err(|_| Error::Query("after"))?,
        };
        let (dropped, records) = self.router.tables().timeline.events_after(after, MAX_PAGE_EVENTS);
        let identity = self.control.identity();
        Ok(wire::TimelinePage {
            vm: identity.vm.to_string(),
            incarnation: identity.incarnation,
            dropped,
            events: records.iter().map(event_to_wire).collect(),
        })
    }

    fn entries(&self, now: Instant) -> Vec<wire::PeerStatus> {
        let tables = self.router.tables();
        let routes = tables.routes();
        let entry = |peer: PeerStatus| {
            let endpoints = routes.endpoints(&peer.vm);
            wire::PeerStatus {
                vm: peer.vm.to_string(),
                address: endpoints
                    .map_or_else(String::new, |endpoints| endpoints.control.to_string()),
                leaving: peer.listed_state == Some(VmState::Leaving),
                age_ms: peer.last_heard.map(|at| age_ms(now, at)),
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
        let (p50, p99) = self.telemetry.latency_percentiles(name.as_str());
        let statuses = route.pool().statuses(now);
        wire::ServiceStatus {
            name: name.to_string(),
            waiting: u32::try_from(route.pool().waiting()).unwrap_or(u32::MAX),
            totals: totals_to_wire(&self.router.tables().ledger.totals(name.as_str())),
            p50_us: saturating_micros(p50),
            p99_us: saturating_micros(p99),
            servers: statuses.iter().map(|status| self.server(name, status)).collect(),
        }
    }

    fn server(&self, service: &name::Service, status: &ServerStatus) -> wire::ServerStatus {
        let target = Target { service: service.clone(), server: status.vm.clone() };
        let (state, why) = state_and_reason(status);
        wire::ServerStatus {
            vm: status.vm.to_string(),
            address: status.address.to_string(),
            domain: status.domain.to_string(),
            state: state.to_owned(),
            why,
            limit: status.limit,
            in_flight: status.in_flight,
            latency_us: saturating_micros(status.latency),
            probes: self.control.server_probes_sent(&target),
        }
    }
}

/// The state of a server and the reason for it.
fn state_and_reason(status: &ServerStatus) -> (&'static str, String) {
    if let Some(why) = &status.out_reason {
        return ("out", why.to_string());
    }
    let claim = if status.claimed { "claim confirmed" } else { "waits for a claim" };
    match status.warmth {
        Warmth::Cold(why) => ("cold", format!("{why}; {claim}")),
        Warmth::Warming => ("warming", claim.to_owned()),
        Warmth::Warm => ("warm", String::new()),
    }
}

/// The names in the configuration that the VM list does not have, as sentences.
fn unknown_names(intent: &Intent) -> Vec<String> {
    let unknown = intent.config.unknown_names(&intent.list);
    let mut texts: Vec<String> =
        unknown.iter().take(MAX_UNKNOWN_NAMES).map(ToString::to_string).collect();
    if unknown.len() > MAX_UNKNOWN_NAMES {
        texts.push(format!("and {} more", unknown.len() - MAX_UNKNOWN_NAMES));
    }
    texts
}

fn refusal_text(refusal: &Refusal) -> String {
    format!("{}: {}", refusal.version, refusal.reason)
}

fn setting_to_wire(setting: &Setting<'_>) -> wire::Setting {
    let origin = match setting.origin {
        Origin::Default => wire::Origin::Default,
        Origin::Service => wire::Origin::Service,
        Origin::Exception(scope, reason) => {
            wire::Origin::Exception { scope: scope.to_string(), reason: reason.as_str().to_owned() }
        }
    };
    wire::Setting { field: setting.field.to_owned(), value: setting.value.clone(), origin }
}

fn event_to_wire(record: &Record) -> wire::Event {
    wire::Event {
        number: record.number,
        stamp: convert::stamp_to_wire(record.stamp),
        kind: record.event.kind().to_owned(),
        text: record.event.to_string(),
        service: record.event.service().map(ToString::to_string),
        vm: record.event.vm().map(ToString::to_string),
    }
}

fn totals_to_wire(totals: &Totals) -> wire::Totals {
    wire::Totals {
        accepted: totals.accepted,
        answered: totals.answered,
        refused: totals.refused,
        unknown: totals.unknown,
        abandoned: totals.abandoned,
        in_flight: totals.in_flight,
    }
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
