use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use quick_error::ResultExt;
use serde::Serialize;

use super::Error;

/// What a VM does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "role", rename_all = "lowercase")]
pub enum VmRole {
    /// It runs an entry.
    Entry {
        /// Where callers connect.
        caller: SocketAddr,
        /// Where peers and operators connect.
        control: SocketAddr,
    },
    /// It runs a server.
    Server {
        /// The service.
        service: String,
        /// Where entries connect.
        address: SocketAddr,
    },
}

/// What the platform says about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It is there to stay.
    Live,
    /// It will go.
    Leaving,
}

/// A VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// What it does.
    #[serde(flatten)]
    pub role: VmRole,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// What the platform says about it.
    pub state: VmState,
}

#[derive(Serialize)]
struct VmList<'a> {
    version: u64,
    vms: &'a [Vm],
}

/// The two documents, as files that the platform follows.
#[derive(Debug)]
pub struct Documents {
    folder: PathBuf,
    /// Revision of the configuration.
    pub config_revision: u64,
    /// Version of the VM list.
    pub vm_list_version: u64,
    /// The `[defaults]`: lines of TOML.
    pub defaults_toml: String,
    /// Names of the services.
    pub service_names: Vec<String>,
    /// Failure domains out of service, each with the reason.
    pub out_domains: Vec<(String, String)>,
    /// Further sections, such as exceptions, in TOML.
    pub extra_toml: String,
    /// The VMs.
    pub vms: Vec<Vm>,
}

impl Documents {
    /// Documents with nothing in them, to be written to `folder`.
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            config_revision: 0,
            vm_list_version: 0,
            defaults_toml: String::new(),
            service_names: Vec::new(),
            out_domains: Vec::new(),
            extra_toml: String::new(),
            vms: Vec::new(),
        }
    }

    /// Where the configuration is.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.toml")
    }

    /// Where the VM list is.
    pub fn vm_list_path(&self) -> PathBuf {
        self.folder.join("vms.json")
    }

    /// Writes the configuration with the next revision and returns that.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish_config(&mut self) -> Result<u64, Error> {
        self.config_revision += 1;
        replace_file(&self.config_path(), &self.config_toml())?;
        Ok(self.config_revision)
    }

    /// Writes the VM list with the next version and returns that.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish_vm_list(&mut self) -> Result<u64, Error> {
        self.vm_list_version += 1;
        let list = VmList { version: self.vm_list_version, vms: &self.vms };
        replace_file(&self.vm_list_path(), &serde_json::to_string_pretty(&list)?)?;
        Ok(self.vm_list_version)
    }

    /// The configuration as text.
    pub fn config_toml(&self) -> String {
        let mut text =
            format!("revision = {}\n\n[defaults]\n{}\n", self.config_revision, self.defaults_toml);
        // Writing to a string does not fail.
        for service in &self.service_names {
            let _ = write!(text, "\n[[service]]\nname = {service:?}\n");
        }
        for (domain, reason) in &self.out_domains {
            let _ = write!(text, "\n[[out]]\ndomain = {domain:?}\nreason = {reason:?}\n");
        }
        text.push_str(&self.extra_toml);
        text
    }
}

/// Replaces a file in one step, so that no reader sees a part of it.
fn replace_file(file: &Path, text: &str) -> Result<(), Error> {
    let new = file.with_extension("new");
    fs::write(&new, text).context(format!("writing {}", new.display()))?;
    fs::rename(&new, file).context(format!("replacing {}", file.display()))?;
    Ok(())
}
