use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use super::Error;

/// A program of this workspace that tests start.
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
    /// The stand-in of a caller, which generates load.
    Caller,
}

impl Program {
    /// Path of the executable, relative to the folder of the build profile.
    fn relative_path(self) -> &'static str {
        match self {
            Self::Daemon => "jackdawpind",
            Self::Client => "jackdawpin",
            Self::Platform => "examples/platform",
            Self::Server => "examples/server",
            Self::Caller => "examples/caller",
        }
    }

    /// Arguments of `cargo build` that build the program.
    fn build_arguments(self) -> &'static str {
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
        f.write_str(self.relative_path())
    }
}

/// The folder in which the built programs are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// The programs of the build profile of the running executable, which is a test, an example or
    /// a program.
    ///
    /// # Errors
    ///
    /// The path of the running executable cannot be determined.
    pub fn beside_current_exe() -> Result<Self, Error> {
        let executable = std::env::current_exe()
            .map_err(|err| Error::Io("path of the running executable".to_owned(), err))?;
        Self::beside_executable(&executable)
    }

    /// The programs of the build profile of an executable, which lies in the profile's folder of
    /// cargo's target folder or in `deps` or `examples` below it.
    ///
    /// # Errors
    ///
    /// The path has no parent folder.
    pub fn beside_executable(executable: &Path) -> Result<Self, Error> {
        let not_in_target = || Error::NotInTargetFolder(executable.to_owned());
        let folder = executable.parent().ok_or_else(not_in_target)?;
        let in_subfolder =
            matches!(folder.file_name().and_then(|name| name.to_str()), Some("deps" | "examples"));
        let folder = if in_subfolder { folder.parent().ok_or_else(not_in_target)? } else { folder };
        Ok(Self { folder: folder.to_owned() })
    }

    /// The path of a program's executable.
    ///
    /// # Errors
    ///
    /// The program has not been built; the error gives the command that builds it.
    pub fn path(&self, program: Program) -> Result<PathBuf, Error> {
        let path = self.folder.join(program.relative_path());
        if path.is_file() {
            return Ok(path);
        }
        let is_release = self.folder.file_name().is_some_and(|name| name == "release");
        let profile = if is_release { " --release" } else { "" };
        let command = format!("cargo build{profile} {}", program.build_arguments());
        Err(Error::NotBuilt(program, path, command))
    }
}
