//! Parses the VM list.
//!
//! JSON values are first split into slices of the text (`serde_json::value::RawValue`), whose
//! addresses give the position of each fault, and each slice is then decoded on its own. All known
//! fields are mandatory for their role; unknown fields are ignored, because the list belongs to the
//! platform, which may add fields.

mod json;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use self::json::Object;
use self::json::Value;
use crate::Faults;
use crate::fault::FaultCollector;
use jackdawpin_core::holder::member::Error;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::name;

/// Parses a VM list.
///
/// # Errors
///
/// All faults that can be found in one pass. If the text is too large, only that fault; if it is
/// not JSON, only the first syntax error.
pub fn parse(text: &str) -> Result<VmList, Faults> {
    let mut faults = FaultCollector::new(text);
    let list = json::parse(text, &mut faults).and_then(|root| parse_list(&root, &mut faults));
    faults.finish(list)
}

/// The version field of a list that need not be valid; `None` if it cannot be read.
pub fn declared_version(text: &str) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct VersionField {
        version: u64,
    }
    serde_json::from_str::<VersionField>(text).ok().map(|field| field.version)
}

fn parse_list(root: &Value<'_>, faults: &mut FaultCollector<'_>) -> Option<VmList> {
    let root = root.object(faults)?;
    let version = parse_version(&root, faults);
    let vms = parse_vms(&root, faults);
    VmList::new(version?, vms?).ok()
}

fn parse_version(root: &Object<'_>, faults: &mut FaultCollector<'_>) -> Option<u64> {
    let value = root.require("version", faults)?;
    let version = value.unsigned(faults)?;
    if version == 0 {
        value.add_fault(Error::Version, faults);
        return None;
    }
    Some(version)
}

fn parse_vms(root: &Object<'_>, faults: &mut FaultCollector<'_>) -> Option<Vec<Vm>> {
    let values = root.require("vms", faults)?.array(faults)?;
    let mut names = BTreeSet::new();
    let mut vms = Vec::with_capacity(values.len());
    for value in &values {
        let Some(object) = value.object(faults) else { continue };
        vms.extend(parse_vm(&object, &mut names, faults));
    }
    Some(vms)
}

fn parse_vm(
    object: &Object<'_>,
    names: &mut BTreeSet<name::Vm>,
    faults: &mut FaultCollector<'_>,
) -> Option<Vm> {
    let name = parse_name(object, names, faults);
    let role = parse_role(object, faults);
    let domain = object.require("domain", faults).and_then(|value| value.validated(faults));
    let region = object.require("region", faults).and_then(|value| value.validated(faults));
    let state = object.require("state", faults).and_then(|value| parse_state(&value, faults));
    Some(Vm { name: name?, role: role?, domain: domain?, region: region?, state: state? })
}

fn parse_name(
    object: &Object<'_>,
    names: &mut BTreeSet<name::Vm>,
    faults: &mut FaultCollector<'_>,
) -> Option<name::Vm> {
    let value = object.require("name", faults)?;
    let name: name::Vm = value.validated(faults)?;
    if !names.insert(name.clone()) {
        value.add_fault(Error::Duplicate(name), faults);
        return None;
    }
    Some(name)
}

fn parse_role(object: &Object<'_>, faults: &mut FaultCollector<'_>) -> Option<Role> {
    let value = object.require("role", faults)?;
    match value.string(faults)?.as_str() {
        "entry" => {
            let caller = parse_address(object, "caller", faults);
            let control = parse_address(object, "control", faults);
            Some(Role::Entry { caller: caller?, control: control? })
        }
        "server" => {
            let service =
                object.require("service", faults).and_then(|value| value.validated(faults));
            let address = parse_address(object, "address", faults);
            Some(Role::Server { service: service?, address: address? })
        }
        other => {
            value.add_fault(format!("role {other:?} is neither \"entry\" nor \"server\""), faults);
            None
        }
    }
}

fn parse_address(
    object: &Object<'_>,
    field: &str,
    faults: &mut FaultCollector<'_>,
) -> Option<SocketAddr> {
    let value = object.require(field, faults)?;
    let text = value.string(faults)?;
    let address = text.parse().ok();
    if address.is_none() {
        value.add_fault(format!("{text:?} is not an IP address with a port"), faults);
    }
    address
}

fn parse_state(value: &Value<'_>, faults: &mut FaultCollector<'_>) -> Option<VmState> {
    match value.string(faults)?.as_str() {
        "live" => Some(VmState::Live),
        "leaving" => Some(VmState::Leaving),
        other => {
            value.add_fault(format!("state {other:?} is neither \"live\" nor \"leaving\""), faults);
            None
        }
    }
}
