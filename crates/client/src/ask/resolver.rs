//! Checks the system's file of name servers.
//!
//! volo-http's client reads the file when it is built, although all addresses are resolved before,
//! and panics if the file is missing or names no server. A VM without a disk may lack it.

use std::io;
use std::net::IpAddr;

use super::Error;

/// The file with the system's name servers.
pub const FILE: &str = "/etc/resolv.conf";

/// Checks the contents of the file.
///
/// # Errors
///
/// [`Error::NameServer`] if it could not be read or names no server.
pub fn check(contents: io::Result<String>) -> Result<(), Error> {
    let contents =
        contents.map_err(|error| Error::NameServer(format!("cannot be read ({error})")))?;
    match contents.lines().any(names_server) {
        true => Ok(()),
        false => Err(Error::NameServer("names no server".to_owned())),
    }
}

fn names_server(line: &str) -> bool {
    let mut words = line.split_whitespace();
    // An IPv6 address may be followed by `%` and the name of an interface.
    let address =
        |word: &str| word.split('%').next().is_some_and(|ip| ip.parse::<IpAddr>().is_ok());
    words.next() == Some("nameserver") && words.next().is_some_and(address)
}
