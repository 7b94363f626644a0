//! Checks the system's list of name servers.
//!
//! volo-http's client reads the file when it is built, although addresses are resolved without it,
//! and panics if the file is missing or names no server. A diskless VM may lack the file.

use std::io;
use std::net::IpAddr;

use super::Error;

/// Path of the file with the system's name servers.
pub const PATH: &str = "/etc/resolv.conf";

/// Checks the contents of the file.
///
/// # Errors
///
/// [`Error::NameServer`] if the file could not be read or names no server.
pub fn check(contents: io::Result<String>) -> Result<(), Error> {
    let contents =
        contents.map_err(|error| Error::NameServer(format!("cannot be read ({error})")))?;
    match contents.lines().any(is_name_server) {
        true => Ok(()),
        false => Err(Error::NameServer("names no server".to_owned())),
    }
}

fn is_name_server(line: &str) -> bool {
    let mut words = line.split_whitespace();
    // An IPv6 address may be followed by `%` and the name of an interface.
    let address =
        |word: &str| word.split('%').next().is_some_and(|ip| ip.parse::<IpAddr>().is_ok());
    words.next() == Some("nameserver") && words.next().is_some_and(address)
}
