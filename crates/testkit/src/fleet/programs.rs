use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use super::Error;

/// A program that a fleet starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The daemon.
    Daemon,
    /// The operators' client.
    Client,
    /// The stand-in of the platform.
    Platform,
    /// The stand-in of a server.
    Server,
    /// The load tool.
    Caller,
}

impl Program {
    /// Where cargo puts it, from the folder of the profile.
    fn place(self) -> &'static str {
        match self {
            Self::Daemon => "jackdawpind",
            Self::Client => "jackdawpin",
            Self::Platform => "examples/platform",
            Self::Server => "examples/server",
            Self::Caller => "examples/caller",
        }
    }

    /// What to build.
    fn target(self) -> &'static str {
        match self {
            Self::Daemon => "-p jackdawpin-daemon --bin jackdawpind",
            Self::Client => "-p jackdawpin-client --bin jackdawpin",
            Self::Platform => "-p jackdawpin-testkit --example platform",
            Self::Server => "-p jackdawpin-testkit --example server",
            Self::Caller => "-p jackdawpin-testkit --example caller",
        }
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.place())
    }
}

/// Where the programs are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// Looks beside the running executable, which is a test, an example or a program of the same profile.
    ///
    /// # Errors
    ///
    /// The path of the running executable cannot be had.
    pub fn beside_current_exe() -> Result<Self, Error> {
        let own = std::env::current_exe().map_err(|err| Error::Io("own path".to_owned(), err))?;
        Self::beside_executable(&own)
    }

    /// Looks beside an executable in a profile's folder of cargo's target folder, or in its `deps` or `examples`.
    ///
    /// # Errors
    ///
    /// The path has no folder.
    pub fn beside_executable(executable: &Path) -> Result<Self, Error> {
        let layout = || Error::NotInTargetFolder(executable.to_owned());
        let folder = executable.parent().ok_or_else(layout)?;
        let inner =
            matches!(folder.file_name().and_then(|name| name.to_str()), Some("deps" | "examples"));
        let folder = if inner { folder.parent().ok_or_else(layout)? } else { folder };
        Ok(Self { folder: folder.to_owned() })
    }

    /// The path of a program.
    ///
    /// # Errors
    ///
    /// It has not been built; the error names the command that does.
    pub fn path(&self, program: Program) -> Result<PathBuf, Error> {
        let path = self.folder.join(program.place());
        if path.is_file() {
            return Ok(path);
        }
        let release = self.folder.file_name().is_some_and(|name| name == "release");
        let profile = if release { " --release" } else { "" };
        let command = format!("cargo build{profile} {}", program.target());
        Err(Error::NotBuilt(program, path, command))
    }
}
