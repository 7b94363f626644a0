use super::table::Item;
use super::table::Table;
use crate::fault::Log;
use jackdawpin_core::holder::config::Builder;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::config::Error;
use jackdawpin_core::holder::config::Exception;
use jackdawpin_core::holder::config::Field;
use jackdawpin_core::holder::config::FieldKind;
use jackdawpin_core::holder::config::Outage;
use jackdawpin_core::holder::config::Override;
use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::config::Reason;
use jackdawpin_core::holder::config::Scope;
use jackdawpin_core::name;

const ROOT_FIELDS: &[&str] = &["revision", "defaults", "service", "exception", "out"];
const SERVICE_FIELDS: &[&str] = &["name", "idempotent_paths"];
const EXCEPTION_FIELDS: &[&str] = &["service", "server", "domain", "out", "reason"];
const OUT_FIELDS: &[&str] = &["domain", "reason"];

/// Reads the document. What is returned is complete only if no fault was added to the log.
pub(super) fn config(root: &Table<'_>, log: &mut Log<'_>) -> Config {
    reject_unknown(root, ROOT_FIELDS, false, log);
    let mut builder = start(root, log);
    for table in root.tables("service", log) {
        service(&table, &mut builder, log);
    }
    for table in root.tables("exception", log) {
        exception(&table, &mut builder, log);
    }
    for table in root.tables("out", log) {
        outage(&table, &mut builder, log);
    }
    builder.build()
}

/// Reads the revision and the defaults. Faulty ones are replaced, so that the other sections can
/// still be checked.
fn start(root: &Table<'_>, log: &mut Log<'_>) -> Builder {
    let revision = revision(root, log).unwrap_or(1);
    let defaults = defaults(root, log).unwrap_or_default();
    Builder::new(revision, defaults).unwrap_or_default()
}

fn revision(root: &Table<'_>, log: &mut Log<'_>) -> Option<u64> {
    let item = root.require("revision", log)?;
    let revision = item.number(log)?;
    if revision == 0 {
        item.fault(Error::Revision, log);
        return None;
    }
    Some(revision)
}

fn defaults(root: &Table<'_>, log: &mut Log<'_>) -> Option<Policy> {
    let table = root.get("defaults")?.table(log)?;
    reject_unknown(&table, &[], true, log);
    let mut policy = Policy::default();
    policy.apply(&values(&table, None, log));
    match policy.check() {
        Ok(()) => Some(policy),
        Err(error) => {
            report(&table, &error, log);
            None
        }
    }
}

fn service(table: &Table<'_>, builder: &mut Builder, log: &mut Log<'_>) {
    reject_unknown(table, SERVICE_FIELDS, true, log);
    let changes = values(table, None, log);
    let paths = idempotent_paths(table, log);
    let name = table.require("name", log).and_then(|item| item.checked::<name::Service>(log));
    let Some(name) = name else { return };
    if let Err(error) = builder.service(name.clone(), changes, paths) {
        report(table, &error, log);
        // Exceptions may refer to the service even though its values do not fit together. This
        // fails only if the service exists already, which is reported.
        let _ = builder.service(name, Override::default(), Vec::new());
    }
}

fn idempotent_paths(table: &Table<'_>, log: &mut Log<'_>) -> Vec<Box<str>> {
    let items = table
        .get("idempotent_paths")
        .and_then(|item| item.array("an array of paths", log))
        .unwrap_or_default();
    let mut paths = Vec::new();
    for item in items {
        let Some(path) = item.text(log) else { continue };
        if path.starts_with('/') {
            paths.push(path.into());
        } else {
            item.fault(Error::Path(path.into()), log);
        }
    }
    paths
}

fn exception(table: &Table<'_>, builder: &mut Builder, log: &mut Log<'_>) {
    let known = log.len();
    reject_unknown(table, EXCEPTION_FIELDS, true, log);
    let scope = scope(table, log);
    let changes = values(table, scope.as_ref(), log);
    let out = table.get("out").and_then(|item| item.flag(log)).unwrap_or(false);
    let reason = reason(table, log).or_else(placeholder);
    let (Some(scope), Some(reason)) = (scope, reason) else { return };
    let result = builder.exception(Exception { scope, changes, out, reason }).map(|_| ());
    match result {
        // The changes are those that were left out because of their faults.
        Err(Error::EmptyException) if log.len() > known => {}
        Err(error) => report(table, &error, log),
        Ok(()) => {}
    }
}

fn scope(table: &Table<'_>, log: &mut Log<'_>) -> Option<Scope> {
    let service = table.get("service");
    let server = table.get("server");
    let domain = table.get("domain");
    match (service, server, domain) {
        (Some(service), None, None) => Some(Scope::Service(service.checked(log)?)),
        (Some(service), Some(server), None) => {
            let service = service.checked(log);
            let server = server.checked(log);
            Some(Scope::Server(service?, server?))
        }
        (None, None, Some(domain)) => Some(Scope::Domain(domain.checked(log)?)),
        _ => {
            let reason = "the scope must be service, service and server, or domain";
            log.add(table.offset, table.path.clone(), reason);
            None
        }
    }
}

fn outage(table: &Table<'_>, builder: &mut Builder, log: &mut Log<'_>) {
    reject_unknown(table, OUT_FIELDS, false, log);
    let domain = table.require("domain", log).and_then(|item| item.checked::<name::Domain>(log));
    let reason = reason(table, log).or_else(placeholder);
    let (Some(domain), Some(reason)) = (domain, reason) else { return };
    if let Err(error) = builder.outage(Outage { domain, reason }) {
        report(table, &error, log);
    }
}

fn reason(table: &Table<'_>, log: &mut Log<'_>) -> Option<Reason> {
    match table.get("reason") {
        Some(item) => item.checked(log),
        None => {
            log.add(table.offset, table.path_of("reason"), Error::Reason);
            None
        }
    }
}

/// Stands for a reason whose absence is reported, so that the rest of the section can be checked.
fn placeholder() -> Option<Reason> {
    Reason::try_from("missing").ok()
}

/// Reads the values of a table. In an exception, `scope` decides which values may be changed.
fn values(table: &Table<'_>, scope: Option<&Scope>, log: &mut Log<'_>) -> Override {
    let mut changes = Override::default();
    for (offset, key) in table.keys() {
        let (Some(field), Some(item)) = (Field::find(key), table.get(key)) else { continue };
        if let Some(Err(error)) = scope.map(|scope| field.check_scope(scope)) {
            log.add(offset, item.path, error);
            continue;
        }
        match field.kind {
            FieldKind::Number(_) => number(field, &item, &mut changes, log),
            FieldKind::Methods => methods(&item, &mut changes, log),
        }
    }
    changes
}

fn number(field: &Field, item: &Item<'_>, changes: &mut Override, log: &mut Log<'_>) {
    let Some(value) = item.number(log) else { return };
    if let Err(error) = changes.set_number(field, value) {
        item.fault(error, log);
    }
}

fn methods(item: &Item<'_>, changes: &mut Override, log: &mut Log<'_>) {
    let Some(items) = item.array("an array of methods", log) else { return };
    let methods = items.iter().filter_map(|item| item.text(log)).map(Box::from).collect();
    if let Err(error) = changes.set_methods(methods) {
        item.fault(error, log);
    }
}

/// Reports each field that is neither in `known` nor, if `values` is set, a value of a policy.
fn reject_unknown(table: &Table<'_>, known: &[&str], values: bool, log: &mut Log<'_>) {
    for (offset, key) in table.keys() {
        if known.contains(&key) || (values && Field::find(key).is_some()) {
            continue;
        }
        log.add(offset, table.path_of(key), "the field is unknown");
    }
}

/// Reports a rule that the table breaks, at the field that it is about.
fn report(table: &Table<'_>, error: &Error, log: &mut Log<'_>) {
    let fields: &[&str] = match error {
        Error::Order(smaller, larger) => &[smaller, larger],
        Error::Connections => &["slots", "connections"],
        Error::DuplicateService(_) => &["name"],
        Error::UnknownService(_) => &["service"],
        Error::DuplicateOutage(_) => &["domain"],
        _ => &[],
    };
    match fields.iter().find_map(|field| table.get(field)) {
        Some(item) => item.fault(error, log),
        None => log.add(table.offset, table.path.clone(), error),
    }
}
