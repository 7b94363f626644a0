use std::net::SocketAddr;
use std::path::Path;

use super::Documents;
use super::Layout;
use super::Service;
use super::Vm;
use super::VmRole;

/// Arguments of the platform's stand-in.
pub fn platform(address: SocketAddr, documents: &Documents) -> Vec<String> {
    vec![
        format!("--listen={address}"),
        format!("--config={}", documents.config_path().display()),
        format!("--vms={}", documents.vm_list_path().display()),
    ]
}

/// Arguments of a server's stand-in.
pub fn server(
    vm: &Vm,
    address: SocketAddr,
    service: &Service,
    seed: u64,
    journal: &Path,
) -> Vec<String> {
    let mut arguments = vec![
        format!("--journal={}", journal.display()),
        format!("--listen={address}"),
        format!("--name={}", vm.name),
        format!("--seed={seed}"),
    ];
    arguments.extend_from_slice(&service.server_flags);
    arguments
}

/// Arguments of an entry's daemon; `None` if the VM is not an entry.
pub fn entry(
    vm: &Vm,
    platform: SocketAddr,
    seeds: &[SocketAddr],
    layout: &Layout,
) -> Option<Vec<String>> {
    let VmRole::Entry { caller, control } = &vm.role else { return None };
    let other_seeds = seeds.iter().filter(|seed| *seed != control).map(ToString::to_string);
    let other_seeds: Vec<String> = other_seeds.collect();
    let mut arguments = vec![
        "--vm".to_owned(),
        vm.name.clone(),
        "--domain".to_owned(),
        vm.domain.clone(),
        "--region".to_owned(),
        vm.region.clone(),
        "--listen".to_owned(),
        caller.to_string(),
        "--control".to_owned(),
        control.to_string(),
        "--platform".to_owned(),
        format!("http://{platform}"),
    ];
    if !other_seeds.is_empty() {
        arguments.extend(["--seeds".to_owned(), other_seeds.join(",")]);
    }
    arguments.extend(["--log-format".to_owned(), "text".to_owned()]);
    arguments.extend_from_slice(&layout.entry_flags);
    Some(arguments)
}
