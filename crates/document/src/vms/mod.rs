//! Reads the VM list.
//!
//! JSON values are first split into raw parts of the text (`serde_json::value::RawValue`), whose
//! addresses give the place of each fault, and each part is then read on its own. All known fields
//! are mandatory for their role; fields that are not known are ignored, because the list belongs to
//! the platform, which may add some.

mod json;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use self::json::Item;
use self::json::Object;
use crate::Faults;
use crate::fault::Log;
use jackdawpin_core::holder::member::Error;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::name;

/// Reads a VM list.
///
/// # Errors
///
/// All faults that can be found in one pass. If the text is too large or not JSON, only the first
/// fault of syntax.
pub fn read(text: &str) -> Result<VmList, Faults> {
    let mut log = Log::new(text);
    let list = json::parse(text, &mut log).and_then(|root| list(&root, &mut log));
    log.finish(list)
}

/// The version that a list claims to have, even if it is not valid; `None` if it has none.
pub fn version(text: &str) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Head {
        version: u64,
    }
    serde_json::from_str::<Head>(text).ok().map(|head| head.version)
}

fn list(root: &Item<'_>, log: &mut Log<'_>) -> Option<VmList> {
    let root = root.object(log)?;
    let version = checked_version(&root, log);
    let vms = vms(&root, log);
    VmList::new(version?, vms?).ok()
}

fn checked_version(root: &Object<'_>, log: &mut Log<'_>) -> Option<u64> {
    let item = root.require("version", log)?;
    let version = item.number(log)?;
    if version == 0 {
        item.fault(Error::Version, log);
        return None;
    }
    Some(version)
}

fn vms(root: &Object<'_>, log: &mut Log<'_>) -> Option<Vec<Vm>> {
    let items = root.require("vms", log)?.array(log)?;
    let mut names = BTreeSet::new();
    let mut vms = Vec::with_capacity(items.len());
    for item in &items {
        let Some(object) = item.object(log) else { continue };
        vms.extend(vm(&object, &mut names, log));
    }
    Some(vms)
}

fn vm(object: &Object<'_>, names: &mut BTreeSet<name::Vm>, log: &mut Log<'_>) -> Option<Vm> {
    let name = vm_name(object, names, log);
    let role = role(object, log);
    let domain = object.require("domain", log).and_then(|item| item.checked(log));
    let region = object.require("region", log).and_then(|item| item.checked(log));
    let state = object.require("state", log).and_then(|item| state(&item, log));
    Some(Vm { name: name?, role: role?, domain: domain?, region: region?, state: state? })
}

fn vm_name(
    object: &Object<'_>,
    names: &mut BTreeSet<name::Vm>,
    log: &mut Log<'_>,
) -> Option<name::Vm> {
    let item = object.require("name", log)?;
    let name: name::Vm = item.checked(log)?;
    if !names.insert(name.clone()) {
        item.fault(Error::Duplicate(name), log);
        return None;
    }
    Some(name)
}

fn role(object: &Object<'_>, log: &mut Log<'_>) -> Option<Role> {
    let item = object.require("role", log)?;
    match item.text(log)?.as_str() {
        "entry" => {
            let caller = address(object, "caller", log);
            let control = address(object, "control", log);
            Some(Role::Entry { caller: caller?, control: control? })
        }
        "server" => {
            let service = object.require("service", log).and_then(|item| item.checked(log));
            let address = address(object, "address", log);
            Some(Role::Server { service: service?, address: address? })
        }
        other => {
            item.fault(format!("role {other:?} is neither \"entry\" nor \"server\""), log);
            None
        }
    }
}

fn address(object: &Object<'_>, field: &str, log: &mut Log<'_>) -> Option<SocketAddr> {
    let item = object.require(field, log)?;
    let text = item.text(log)?;
    let address = text.parse().ok();
    if address.is_none() {
        item.fault(format!("{text:?} is not an IP address with a port"), log);
    }
    address
}

fn state(item: &Item<'_>, log: &mut Log<'_>) -> Option<VmState> {
    match item.text(log)?.as_str() {
        "live" => Some(VmState::Live),
        "leaving" => Some(VmState::Leaving),
        other => {
            item.fault(format!("state {other:?} is neither \"live\" nor \"leaving\""), log);
            None
        }
    }
}
