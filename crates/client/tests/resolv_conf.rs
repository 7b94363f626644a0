//! The check of the system's list of name servers.

use std::io;

use rstest::rstest;

use jackdawpin_client::entry_client::resolv_conf::check;

fn file(text: &str) -> io::Result<String> {
    Ok(text.to_owned())
}

/// Guards against a panic of the HTTP client on a VM without name servers, and against an error on
/// a VM that has some.
#[rstest]
#[case::missing(Err(io::ErrorKind::NotFound.into()), Some("cannot be read (entity not found)"))]
#[case::empty(file(""), Some("names no server"))]
#[case::comment(file("# nameserver 127.0.0.1\nsearch example\n"), Some("names no server"))]
#[case::no_address(file("nameserver\n"), Some("names no server"))]
#[case::host_name(file("nameserver localhost\n"), Some("names no server"))]
#[case::one(file("nameserver 127.0.0.1\n"), None)]
#[case::indented(file("search example\n  nameserver\t127.0.0.1 # local\n"), None)]
#[case::scope(file("nameserver fe80::1%eth0\n"), None)]
fn name_servers(#[case] contents: io::Result<String>, #[case] expected: Option<&str>) {
    let error = check(contents).err().map(|error| error.to_string());
    assert_eq!(error.is_some(), expected.is_some(), "{error:?}");
    assert!(error.unwrap_or_default().contains(expected.unwrap_or_default()));
}
