use super::table::Table;
use super::table::Value;
use crate::fault::FaultCollector;
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

/// Builds the configuration from the document. The result is complete only if no fault was added.
pub(super) fn build_config(root: &Table<'_>, faults: &mut FaultCollector<'_>) -> Config {
    reject_unknown(root, ROOT_FIELDS, false, faults);
    let mut builder = new_builder(root, faults);
    for table in root.tables("service", faults) {
        add_service(&table, &mut builder, faults);
    }
    for table in root.tables("exception", faults) {
        add_exception(&table, &mut builder, faults);
    }
    for table in root.tables("out", faults) {
        add_outage(&table, &mut builder, faults);
    }
    builder.build()
}

/// Starts a configuration with the revision and the defaults of the document. Faulty ones are
/// replaced, so that the other sections can still be checked.
fn new_builder(root: &Table<'_>, faults: &mut FaultCollector<'_>) -> Builder {
    let revision = parse_revision(root, faults).unwrap_or(1);
    let defaults = parse_defaults(root, faults).unwrap_or_default();
    Builder::new(revision, defaults).unwrap_or_default()
}

fn parse_revision(root: &Table<'_>, faults: &mut FaultCollector<'_>) -> Option<u64> {
    let value = root.require("revision", faults)?;
    let revision = value.unsigned(faults)?;
    if revision == 0 {
        value.add_fault(Error::Revision, faults);
        return None;
    }
    Some(revision)
}

fn parse_defaults(root: &Table<'_>, faults: &mut FaultCollector<'_>) -> Option<Policy> {
    let table = root.get("defaults")?.table(faults)?;
    reject_unknown(&table, &[], true, faults);
    let mut policy = Policy::default();
    policy.apply(&parse_override(&table, None, faults));
    match policy.check() {
        Ok(()) => Some(policy),
        Err(error) => {
            report_error(&table, &error, faults);
            None
        }
    }
}

fn add_service(table: &Table<'_>, builder: &mut Builder, faults: &mut FaultCollector<'_>) {
    reject_unknown(table, SERVICE_FIELDS, true, faults);
    let changes = parse_override(table, None, faults);
    let paths = parse_idempotent_paths(table, faults);
    let name =
        table.require("name", faults).and_then(|value| value.validated::<name::Service>(faults));
    let Some(name) = name else { return };
    if let Err(error) = builder.service(name.clone(), changes, paths) {
        report_error(table, &error, faults);
        // Adds the service without its values, which do not fit together, so that exceptions can
        // refer to it. This fails only if the service exists already, which is reported.
        let _ = builder.service(name, Override::default(), Vec::new());
    }
}

fn parse_idempotent_paths(table: &Table<'_>, faults: &mut FaultCollector<'_>) -> Vec<Box<str>> {
    let values = table
        .get("idempotent_paths")
        .and_then(|value| value.array("an array of paths", faults))
        .unwrap_or_default();
    let mut paths = Vec::new();
    for value in values {
        let Some(path) = value.string(faults) else { continue };
        if path.starts_with('/') {
            paths.push(path.into());
        } else {
            value.add_fault(Error::Path(path.into()), faults);
        }
    }
    paths
}

fn add_exception(table: &Table<'_>, builder: &mut Builder, faults: &mut FaultCollector<'_>) {
    let faults_before = faults.len();
    reject_unknown(table, EXCEPTION_FIELDS, true, faults);
    let scope = parse_scope(table, faults);
    let changes = parse_override(table, scope.as_ref(), faults);
    let out = table.get("out").and_then(|value| value.boolean(faults)).unwrap_or(false);
    let reason = parse_reason(table, faults).or_else(placeholder_reason);
    let (Some(scope), Some(reason)) = (scope, reason) else { return };
    let result = builder.exception(Exception { scope, changes, out, reason }).map(|_| ());
    match result {
        // The exception is empty only because its faulty changes were left out.
        Err(Error::EmptyException) if faults.len() > faults_before => {}
        Err(error) => report_error(table, &error, faults),
        Ok(()) => {}
    }
}

fn parse_scope(table: &Table<'_>, faults: &mut FaultCollector<'_>) -> Option<Scope> {
    let service = table.get("service");
    let server = table.get("server");
    let domain = table.get("domain");
    match (service, server, domain) {
        (Some(service), None, None) => Some(Scope::Service(service.validated(faults)?)),
        (Some(service), Some(server), None) => {
            let service = service.validated(faults);
            let server = server.validated(faults);
            Some(Scope::Server(service?, server?))
        }
        (None, None, Some(domain)) => Some(Scope::Domain(domain.validated(faults)?)),
        _ => {
            let reason = "the scope must be service, service and server, or domain";
            faults.add(table.offset, table.path.clone(), reason);
            None
        }
    }
}

fn add_outage(table: &Table<'_>, builder: &mut Builder, faults: &mut FaultCollector<'_>) {
    reject_unknown(table, OUT_FIELDS, false, faults);
    let domain =
        table.require("domain", faults).and_then(|value| value.validated::<name::Domain>(faults));
    let reason = parse_reason(table, faults).or_else(placeholder_reason);
    let (Some(domain), Some(reason)) = (domain, reason) else { return };
    if let Err(error) = builder.outage(Outage { domain, reason }) {
        report_error(table, &error, faults);
    }
}

fn parse_reason(table: &Table<'_>, faults: &mut FaultCollector<'_>) -> Option<Reason> {
    match table.get("reason") {
        Some(value) => value.validated(faults),
        None => {
            faults.add(table.offset, table.field_path("reason"), Error::Reason);
            None
        }
    }
}

/// Takes the place of a reason that is reported as faulty, so that the rest of the section can be
/// checked.
fn placeholder_reason() -> Option<Reason> {
    Reason::try_from("missing").ok()
}

/// Parses the policy values of a table. In an exception, `scope` decides which values may change.
fn parse_override(
    table: &Table<'_>,
    scope: Option<&Scope>,
    faults: &mut FaultCollector<'_>,
) -> Override {
    let mut changes = Override::default();
    for (offset, key) in table.keys() {
        let (Some(field), Some(value)) = (Field::find(key), table.get(key)) else { continue };
        if let Some(Err(error)) = scope.map(|scope| field.check_scope(scope)) {
            faults.add(offset, value.path, error);
            continue;
        }
        match field.kind {
            FieldKind::Number(_) => set_number(field, &value, &mut changes, faults),
            FieldKind::Methods => set_methods(&value, &mut changes, faults),
        }
    }
    changes
}

fn set_number(
    field: &Field,
    value: &Value<'_>,
    changes: &mut Override,
    faults: &mut FaultCollector<'_>,
) {
    let Some(number) = value.unsigned(faults) else { return };
    if let Err(error) = changes.set_number(field, number) {
        value.add_fault(error, faults);
    }
}

fn set_methods(value: &Value<'_>, changes: &mut Override, faults: &mut FaultCollector<'_>) {
    let Some(values) = value.array("an array of methods", faults) else { return };
    let methods = values.iter().filter_map(|value| value.string(faults)).map(Box::from).collect();
    if let Err(error) = changes.set_methods(methods) {
        value.add_fault(error, faults);
    }
}

/// Reports each field that is neither in `known` nor, if `allow_policy` is set, a field of a
/// policy.
fn reject_unknown(
    table: &Table<'_>,
    known: &[&str],
    allow_policy: bool,
    faults: &mut FaultCollector<'_>,
) {
    for (offset, key) in table.keys() {
        if known.contains(&key) || (allow_policy && Field::find(key).is_some()) {
            continue;
        }
        faults.add(offset, table.field_path(key), "the field is unknown");
    }
}

/// Reports an error of the builder at the field of the table that it concerns.
fn report_error(table: &Table<'_>, error: &Error, faults: &mut FaultCollector<'_>) {
    let fields: &[&str] = match error {
        Error::Order(smaller, larger) => &[smaller, larger],
        Error::Connections => &["slots", "connections"],
        Error::DuplicateService(_) => &["name"],
        Error::UnknownService(_) => &["service"],
        Error::DuplicateOutage(_) => &["domain"],
        _ => &[],
    };
    match fields.iter().find_map(|field| table.get(field)) {
        Some(value) => value.add_fault(error, faults),
        None => faults.add(table.offset, table.path.clone(), error),
    }
}
