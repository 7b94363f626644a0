use std::collections::BTreeMap;
use std::fmt;

use super::Fleet;
use super::ReachableEntry;
use crate::view::format;
use jackdawpin_wire::DocumentVersion;
use jackdawpin_wire::Explanation;

/// A problem of the entries, shown as a warning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Entries have different configurations in force: the versions, newest first, each with the
    /// entries that have it.
    ConfigDisagreement(Vec<(DocumentVersion, Vec<String>)>),
    /// Entries name different holders of a server: the holders, each with the entries that name it.
    HolderDisagreement(Vec<(Option<String>, Vec<String>)>),
    /// The named entry is fenced and refuses new work.
    Fenced(String),
    /// An entry refused a document.
    RefusedDocument {
        /// The entry.
        vm: String,
        /// Kind of the document.
        document: &'static str,
        /// Why it was refused.
        reason: String,
    },
    /// A sentence about a name in the configuration in force that the VM list does not have, with
    /// the entries that report it.
    UnknownName(String, Vec<String>),
    /// No entry knows the server.
    UnknownServer {
        /// The service.
        service: String,
        /// The server.
        server: String,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigDisagreement(groups) => {
                write!(f, "entries disagree on the configuration in force: ")?;
                let groups = groups.iter();
                let groups = groups.map(|(version, vms)| (format::version(Some(*version)), vms));
                write_groups(f, "on", groups)
            }
            Self::HolderDisagreement(groups) => {
                write!(f, "entries disagree on the holder: ")?;
                let name = |holder: &Option<String>| holder.clone().unwrap_or("nobody".into());
                let groups = groups.iter().map(|(holder, vms)| (name(holder), vms));
                write_groups(f, "according to", groups)
            }
            Self::Fenced(vm) => write!(f, "{vm} is fenced and refuses new work"),
            Self::RefusedDocument { vm, document, reason } => {
                write!(f, "{vm} refused the {document}: {reason}")
            }
            Self::UnknownName(text, vms) => write!(f, "{text} (according to {})", vms.join(", ")),
            Self::UnknownServer { service, server } => {
                write!(f, "no entry knows server {server} of service {service}")
            }
        }
    }
}

/// Writes groups such as `42 on entry-1, entry-2; 41 on entry-3`, where `link` is `on`.
fn write_groups<'a>(
    f: &mut fmt::Formatter<'_>,
    link: &str,
    groups: impl Iterator<Item = (String, &'a Vec<String>)>,
) -> fmt::Result {
    for (index, (name, vms)) in groups.enumerate() {
        let separator = if index == 0 { "" } else { "; " };
        write!(f, "{separator}{name} {link} {}", vms.join(", "))?;
    }
    Ok(())
}

/// The problems of the entries that answered.
pub fn findings(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(config_disagreement(fleet));
    findings.extend(fleet.reachable.iter().flat_map(entry_findings));
    findings.extend(unknown_names(fleet));
    findings
}

/// A finding if the explanations of a server name different holders. Each explanation comes with
/// the VM name of the entry that gave it.
pub fn holder_disagreement<'a>(
    explanations: impl Iterator<Item = (&'a str, &'a Explanation)>,
) -> Option<Finding> {
    let mut groups: BTreeMap<Option<String>, Vec<String>> = BTreeMap::new();
    for (vm, explanation) in explanations {
        groups.entry(explanation.holder.clone()).or_default().push(vm.to_owned());
    }
    (groups.len() > 1).then(|| Finding::HolderDisagreement(groups.into_iter().collect()))
}

/// The unknown names that entries report, each once.
fn unknown_names(fleet: &Fleet) -> impl Iterator<Item = Finding> {
    let mut groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for entry in &fleet.reachable {
        for text in &entry.status.unknown {
            groups.entry(text.clone()).or_default().push(entry.status.vm.clone());
        }
    }
    groups.into_iter().map(|(text, vms)| Finding::UnknownName(text, vms))
}

/// A finding if entries have different configurations in force. Entries without a configuration
/// have just started and do not count.
fn config_disagreement(fleet: &Fleet) -> Option<Finding> {
    let mut groups: BTreeMap<DocumentVersion, Vec<String>> = BTreeMap::new();
    for entry in &fleet.reachable {
        if let Some(version) = entry.status.config {
            groups.entry(version).or_default().push(entry.status.vm.clone());
        }
    }
    (groups.len() > 1).then(|| Finding::ConfigDisagreement(groups.into_iter().rev().collect()))
}

/// The problems that one entry reports about itself.
fn entry_findings(entry: &ReachableEntry) -> Vec<Finding> {
    let status = &entry.status;
    let refused = |document, reason: &Option<String>| {
        let reason = reason.clone()?;
        Some(Finding::RefusedDocument { vm: status.vm.clone(), document, reason })
    };
    let fenced = status.fenced.then(|| Finding::Fenced(status.vm.clone()));
    let config = refused("configuration", &status.config_refused);
    let vms = refused("VM list", &status.vms_refused);
    [fenced, config, vms].into_iter().flatten().collect()
}
