use std::io;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;

use super::Program;
use crate::http::Error as HttpError;
use jackdawpin_wire as wire;

quick_error! {
    /// Why a fleet could not do what it was asked to.
    #[derive(Debug)]
    pub enum Error {
        /// A program has not been built.
        NotBuilt(program: Program, path: PathBuf, command: String) {
            display("{} is missing; build it with `{}`", path.display(), command)
        }
        /// The executable's own path does not tell where the others are.
        NotInTargetFolder(path: PathBuf) {
            display("{} is not in a folder of cargo's target folder", path.display())
        }
        /// All loopback addresses of this process are in use.
        AddressesExhausted {
            display("all loopback addresses of this process are in use")
        }
        /// No VM has this name.
        UnknownVm(name: String) {
            display("no VM is named {:?}", name)
        }
        /// The VM's process is not running.
        NotRunning(name: String) {
            display("the process of {:?} is not running", name)
        }
        /// Something did not happen in time.
        Timeout(what: String, limit: Duration) {
            display("{} did not happen within {:?}", what, limit)
        }
        /// A process ended that should run.
        Exited(name: String, log: String) {
            display("{:?} ended; the end of its log: {}", name, log)
        }
        /// A file or a process.
        Io(what: String, err: io::Error) {
            context(what: String, err: io::Error) -> (what, err)
            context(what: &'a str, err: io::Error) -> (what.to_owned(), err)
            display("{}: {}", what, err)
            source(err)
        }
        /// A control request.
        Http(err: HttpError) {
            from()
            display("{}", err)
            source(err)
        }
        /// An entry's answer is not the expected message.
        Decode(err: wire::Error) {
            from()
            display("{}", err)
            source(err)
        }
        /// A document could not be encoded.
        Encode(err: serde_json::Error) {
            from()
            display("encoding a document: {}", err)
            source(err)
        }
    }
}
