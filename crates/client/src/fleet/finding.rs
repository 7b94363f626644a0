use std::collections::BTreeMap;
use std::fmt;

use super::Fleet;
use super::Member;
use crate::view::format;
use jackdawpin_wire::DocumentVersion;
use jackdawpin_wire::Explanation;

/// Something that is wrong with the entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Entries have different configurations in force, the newest first, with the entries that have
    /// each.
    Configurations(Vec<(DocumentVersion, Vec<String>)>),
    /// Entries name different holders of a server, with the entries that name each.
    Holders(Vec<(Option<String>, Vec<String>)>),
    /// An entry refuses new work.
    Fenced(String),
    /// An entry refused a document.
    Refused {
        /// The entry.
        vm: String,
        /// What kind of document.
        document: &'static str,
        /// Why.
        reason: String,
    },
    /// A name in the configuration in force that the VM list does not have, with the entries that
    /// say so.
    Unknown(String, Vec<String>),
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
            Self::Configurations(groups) => {
                write!(f, "entries disagree on the configuration in force: ")?;
                let groups = groups.iter();
                let groups = groups.map(|(order, vms)| (format::order(Some(*order)), vms));
                write_groups(f, "on", groups)
            }
            Self::Holders(groups) => {
                write!(f, "entries disagree on the holder: ")?;
                let name = |holder: &Option<String>| holder.clone().unwrap_or("nobody".into());
                let groups = groups.iter().map(|(holder, vms)| (name(holder), vms));
                write_groups(f, "according to", groups)
            }
            Self::Fenced(vm) => write!(f, "{vm} is fenced and refuses new work"),
            Self::Refused { vm, document, reason } => {
                write!(f, "{vm} refused the {document}: {reason}")
            }
            Self::Unknown(text, vms) => write!(f, "{text} (according to {})", vms.join(", ")),
            Self::UnknownServer { service, server } => {
                write!(f, "no entry knows server {server} of service {service}")
            }
        }
    }
}

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

/// What is wrong with the entries that answered.
pub fn findings(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(configurations(fleet));
    findings.extend(fleet.members.iter().flat_map(of_entry));
    findings.extend(unknown(fleet));
    findings
}

/// What is wrong with the explanations of a server, by the entries that gave them.
pub fn explanation_findings<'a>(
    explanations: impl Iterator<Item = (&'a str, &'a Explanation)>,
) -> Option<Finding> {
    let mut groups: BTreeMap<Option<String>, Vec<String>> = BTreeMap::new();
    for (vm, explanation) in explanations {
        groups.entry(explanation.holder.clone()).or_default().push(vm.to_owned());
    }
    (groups.len() > 1).then(|| Finding::Holders(groups.into_iter().collect()))
}

/// Unknown names, each once.
fn unknown(fleet: &Fleet) -> impl Iterator<Item = Finding> {
    let mut groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for member in &fleet.members {
        for text in &member.status.unknown {
            groups.entry(text.clone()).or_default().push(member.status.vm.clone());
        }
    }
    groups.into_iter().map(|(text, vms)| Finding::Unknown(text, vms))
}

/// Entries without a configuration have just started and disagree with nobody.
fn configurations(fleet: &Fleet) -> Option<Finding> {
    let mut groups: BTreeMap<DocumentVersion, Vec<String>> = BTreeMap::new();
    for member in &fleet.members {
        if let Some(order) = member.status.config {
            groups.entry(order).or_default().push(member.status.vm.clone());
        }
    }
    (groups.len() > 1).then(|| Finding::Configurations(groups.into_iter().rev().collect()))
}

fn of_entry(member: &Member) -> Vec<Finding> {
    let status = &member.status;
    let refused = |document, reason: &Option<String>| {
        let reason = reason.clone()?;
        Some(Finding::Refused { vm: status.vm.clone(), document, reason })
    };
    let fenced = status.fenced.then(|| Finding::Fenced(status.vm.clone()));
    let config = refused("configuration", &status.config_refused);
    let vms = refused("VM list", &status.vms_refused);
    [fenced, config, vms].into_iter().flatten().collect()
}
