//! Warnings about names in a configuration that the VM list does not have.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use rstest::rstest;

use jackdawpin_core::holder::config::Builder;
use jackdawpin_core::holder::config::Exception;
use jackdawpin_core::holder::config::Outage;
use jackdawpin_core::holder::config::Override;
use jackdawpin_core::holder::config::Reason;
use jackdawpin_core::holder::config::Scope;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;

/// A VM list of an entry in fd-a and a leaving server of `alerts` in fd-b.
fn list() -> VmList {
    let address = "127.0.0.1:9000".parse().unwrap();
    let vm = |name: &str, domain: &str, role| Vm {
        name: name.try_into().unwrap(),
        role,
        domain: domain.try_into().unwrap(),
        region: "south".try_into().unwrap(),
        state: VmState::Leaving,
    };
    let entry = Role::Entry { caller: address, control: address };
    let server = Role::Server { service: "alerts".try_into().unwrap(), address };
    VmList::new(1, vec![vm("entry-1", "fd-a", entry), vm("alerts-1", "fd-b", server)]).unwrap()
}

/// Guards against a misspelt name that is not reported, and against a warning about a name that
/// exists: a VM exists even if it is leaving, and a failure domain even if it has only entries.
#[rstest]
#[case::known_service(Scope::Service("alerts".try_into().unwrap()), true)]
#[case::unknown_service(Scope::Service("orders".try_into().unwrap()), false)]
#[case::known_server(
    Scope::Server("alerts".try_into().unwrap(), "alerts-1".try_into().unwrap()),
    true
)]
#[case::unknown_server(
    Scope::Server("alerts".try_into().unwrap(), "alerts-2".try_into().unwrap()),
    false
)]
#[case::server_of_another_service(
    Scope::Server("orders".try_into().unwrap(), "alerts-1".try_into().unwrap()),
    false
)]
#[case::entry_as_server(
    Scope::Server("alerts".try_into().unwrap(), "entry-1".try_into().unwrap()),
    false
)]
#[case::known_domain(Scope::Domain("fd-b".try_into().unwrap()), true)]
#[case::domain_of_entries(Scope::Domain("fd-a".try_into().unwrap()), true)]
#[case::unknown_domain(Scope::Domain("fdb".try_into().unwrap()), false)]
fn exception_scopes(#[case] scope: Scope, #[case] known: bool) {
    let mut builder = Builder::default();
    for service in ["alerts", "orders"] {
        let service = service.try_into().unwrap();
        builder.service(service, Override::default(), Vec::new()).unwrap();
    }
    let reason = Reason::try_from("test").unwrap();
    let exception =
        Exception { scope: scope.clone(), changes: Override::default(), out: true, reason };
    builder.exception(exception).unwrap();
    let unknown = builder.build().unknown_names(&list());
    let exceptions = unknown.iter().filter(|name| name.section == "[[exception]]");
    let scopes: Vec<&Scope> = exceptions.map(|name| &name.scope).collect();
    assert_eq!(scopes, if known { vec![] } else { vec![&scope] });
    assert_eq!(unknown[0].to_string(), "[[service]]: the VM list has no service orders");
}

/// Guards against an outage of a misspelt failure domain that is not reported.
#[rstest]
#[case("fd-b", &[])]
#[case("fdb", &["[[out]]: the VM list has no failure domain fdb"])]
fn outages(#[case] domain: &str, #[case] expected: &[&str]) {
    let mut builder = Builder::default();
    let reason = Reason::try_from("test").unwrap();
    builder.outage(Outage { domain: domain.try_into().unwrap(), reason }).unwrap();
    let unknown = builder.build().unknown_names(&list());
    let texts: Vec<String> = unknown.iter().map(ToString::to_string).collect();
    assert_eq!(texts, expected);
}
