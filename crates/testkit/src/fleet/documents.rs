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
pub enum Role {
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
pub enum State {
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
    pub role: Role,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// What the platform says about it.
    pub state: State,
}

#[derive(Serialize)]
struct List<'a> {
    version: u64,
    vms: &'a [Vm],
}

/// The two documents, as files that the platform follows.
#[derive(Debug)]
pub struct Documents {
    folder: PathBuf,
    /// Revision of the configuration.
    pub revision: u64,
    /// Version of the VM list.
    pub version: u64,
    /// The `[defaults]`: lines of TOML.
    pub defaults: String,
    /// Names of the services.
    pub services: Vec<String>,
    /// Failure domains out of service, each with the reason.
    pub out: Vec<(String, String)>,
    /// Further sections, such as exceptions, in TOML.
    pub extra: String,
    /// The VMs.
    pub vms: Vec<Vm>,
}

impl Documents {
    /// Documents with nothing in them, to be written to `folder`.
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            revision: 0,
            version: 0,
            defaults: String::new(),
            services: Vec::new(),
            out: Vec::new(),
            extra: String::new(),
            vms: Vec::new(),
        }
    }

    /// Where the configuration is.
    pub fn config_file(&self) -> PathBuf {
        self.folder.join("config.toml")
    }

    /// Where the VM list is.
    pub fn vms_file(&self) -> PathBuf {
        self.folder.join("vms.json")
    }

    /// Writes the configuration with the next revision and returns that.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish_config(&mut self) -> Result<u64, Error> {
        self.revision += 1;
        replace(&self.config_file(), &self.config())?;
        Ok(self.revision)
    }

    /// Writes the VM list with the next version and returns that.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish_vms(&mut self) -> Result<u64, Error> {
        self.version += 1;
        let list = List { version: self.version, vms: &self.vms };
        replace(&self.vms_file(), &serde_json::to_string_pretty(&list)?)?;
        Ok(self.version)
    }

    /// The configuration as text.
    pub fn config(&self) -> String {
        let mut text = format!("revision = {}\n\n[defaults]\n{}\n", self.revision, self.defaults);
        // Writing to a string does not fail.
        for service in &self.services {
            let _ = write!(text, "\n[[service]]\nname = {service:?}\n");
        }
        for (domain, reason) in &self.out {
            let _ = write!(text, "\n[[out]]\ndomain = {domain:?}\nreason = {reason:?}\n");
        }
        text.push_str(&self.extra);
        text
    }
}

/// Replaces a file in one step, so that no reader sees a part of it.
fn replace(file: &Path, text: &str) -> Result<(), Error> {
    let new = file.with_extension("new");
    fs::write(&new, text).context(format!("writing {}", new.display()))?;
    fs::rename(&new, file).context(format!("replacing {}", file.display()))?;
    Ok(())
}
