use std::io;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;

use super::Program;
use crate::http::Error as HttpError;
use jackdawpin_wire as wire;

quick_error! {
    /// Failure of an operation on a fleet.
    #[derive(Debug)]
    pub enum Error {
        /// A program has not been built.
        NotBuilt(program: Program, path: PathBuf, command: String) {
            display("{} has not been built; build it with `{}`", path.display(), command)
        }
        /// An executable is not in cargo's target folder, so the other programs cannot be located.
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
        /// The process of this name is not running.
        NotRunning(name: String) {
            display("the process of {:?} is not running", name)
        }
        /// An expected event did not occur within the limit.
        Timeout(what: String, limit: Duration) {
            display("{} did not happen within {:?}", what, limit)
        }
        /// A process exited unexpectedly; carries the last part of its log.
        Exited(name: String, log: String) {
            display("process {:?} exited; end of its log: {}", name, log)
        }
        /// An operation on a file or a process failed.
        Io(what: String, err: io::Error) {
            context(what: String, err: io::Error) -> (what, err)
            context(what: &'a str, err: io::Error) -> (what.to_owned(), err)
            display("{}: {}", what, err)
            source(err)
        }
        /// A request to a process failed.
        Http(err: HttpError) {
            from()
            display("{}", err)
            source(err)
        }
        /// An entry's answer could not be decoded.
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
