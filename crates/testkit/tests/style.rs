//! The conventions that neither the formatter nor the linter checks, over all code of the workspace.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;

use jackdawpin_testkit::style::Violation;
use jackdawpin_testkit::style::check_file;
use jackdawpin_testkit::style::check_folders;

/// Collects the Rust files below a folder.
fn walk(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() && !path.ends_with("target") {
            walk(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

/// Guards against code that drifts away from the conventions of docs/design.md.
#[test]
fn workspace() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the workspace");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        walk(&root.join(folder), &mut files).expect("readable folders");
    }
    let relative = |file: &PathBuf| {
        let path = file.strip_prefix(root).expect("a path below the root");
        path.to_str().expect("a path in UTF-8").to_owned()
    };
    let paths: Vec<String> = files.iter().map(relative).collect();
    assert!(paths.iter().any(|path| path == "crates/testkit/tests/style.rs"), "found {paths:?}");

    let mut found = check_folders(paths.iter().map(String::as_str));
    for (file, path) in files.iter().zip(&paths) {
        let text = fs::read_to_string(file).expect("a readable file");
        found.extend(check_file(path, &text));
    }
    let lines: Vec<String> = found.iter().map(Violation::to_string).collect();
    assert!(lines.is_empty(), "{} violations:\n{}", lines.len(), lines.join("\n"));
}

/// Guards against a check that never fails: each snippet breaks one rule, on the given line.
#[rstest]
#[case::braces("use std::io::{Read, Write};\n", 1, "an import must not have braces")]
#[case::braces_over_lines("use std::io::{\n    Read,\n};\n", 1, "an import must not have braces")]
#[case::braces_in_function(
    "fn f() {\n    use a::{b, c};\n}\n",
    2,
    "an import must not have braces"
)]
#[case::public_braces("pub use self::a::{b, c};\n", 1, "an import must not have braces")]
#[case::scoped_braces("pub(crate) use self::a::{b, c};\n", 1, "an import must not have braces")]
#[case::not_one_line("use std::\n    io;\n", 1, "an import must be one line")]
#[case::order("use http::Uri;\n\nuse std::io;\n", 3, "std must come before external crates")]
#[case::own_before_external(
    "use crate::a;\n\nuse http::Uri;\n",
    3,
    "external crates must come before own crates and modules"
)]
#[case::workspace_crate_is_own(
    "use jackdawpin_core::name;\n\nuse http::Uri;\n",
    3,
    "external crates must come before own crates and modules"
)]
#[case::public_first("pub use self::a::B;\n\nuse std::io;\n", 3, "std must come before pub use")]
#[case::not_apart(
    "use std::io;\nuse http::Uri;\n",
    2,
    "a blank line is missing before the group of external crates"
)]
#[case::public_not_apart(
    "use crate::a;\npub use self::b::C;\n",
    2,
    "a blank line is missing before the group of pub use"
)]
#[case::split(
    "use super::a;\n\nuse crate::b;\n",
    3,
    "the group of own crates and modules must not be split"
)]
#[case::split_by_code(
    "use std::io;\n\nmod a;\n\nuse std::fs;\n",
    5,
    "the group of std must not be split"
)]
#[case::dynamic("fn f(a: &dyn Fn()) {}\n", 1, "no dyn on the request path")]
#[case::dynamic_box("\ntype A = Box<dyn Fn()>;\n", 2, "no dyn on the request path")]
fn bad_snippet(#[case] text: &str, #[case] line: usize, #[case] what: &str) {
    let found = check_file("crates/core/src/a/mod.rs", text);
    let seen: Vec<_> = found.iter().map(|found| (found.line, found.what.as_str())).collect();
    assert_eq!(seen, [(line, what)]);
}

/// Guards against a check that stops at the first violation, so that fixing takes as many runs as there are.
#[test]
fn all_violations() {
    let text = "use std::{a, b};\nuse http::Uri;\nfn f(a: &dyn Fn()) {}\n";
    let found = check_file("crates/core/src/a.rs", text);
    let lines: Vec<_> = found.iter().map(|found| found.line).collect();
    assert_eq!(lines, [1, 2, 3]);
    assert_eq!(found[0].to_string(), "crates/core/src/a.rs:1: an import must not have braces");
}

/// Guards against a check that refuses what the conventions allow.
#[rstest]
#[case::groups(
    "//! Doc.\n\nmod a;\n\nuse std::io;\n\nuse http::Uri;\n\nuse crate::b;\n\npub use self::a::C;\n"
)]
#[case::attribute("use std::io;\n#[cfg(test)]\nuse std::fs;\n")]
#[case::inner("use std::io;\n\nfn f() {\n    use crate::A;\n    use std::fs;\n}\n")]
#[case::comment("// A dyn trait object would cost a call.\nlet a = 1; // no dyn here\n")]
#[case::name("let dynamic = anodyn + 1;\n")]
#[case::path("let path = \"/v1/call\";\nlet other = \"/works\";\n")]
fn good_snippet(#[case] text: &str) {
    assert_eq!(check_file("crates/core/src/a/mod.rs", text), []);
}

/// Guards against a rule for the request path that covers too few or too many folders.
#[rstest]
#[case("crates/core/src/lib.rs", true)]
#[case("crates/daemon/src/front/a.rs", true)]
#[case("crates/daemon/src/upstream/a.rs", true)]
#[case("crates/daemon/src/peer/a.rs", true)]
#[case("crates/daemon/src/control/a.rs", true)]
#[case("crates/daemon/src/settings/a.rs", false)]
#[case("crates/client/src/main.rs", false)]
#[case("crates/core/tests/a.rs", false)]
fn dynamic_calls(#[case] path: &str, #[case] refused: bool) {
    assert_eq!(!check_file(path, "type A = Box<dyn Fn()>;\n").is_empty(), refused);
}

/// Guards against paths that only exist on the machine of whoever wrote the code. The paths are put together here,
/// because this file is checked as well.
#[rstest]
#[case("home", true)]
#[case("root", true)]
#[case("work", true)]
#[case("Users", true)]
#[case("proc", false)]
fn machine_path(#[case] folder: &str, #[case] refused: bool) {
    let line = |path: String| format!("const A: &str = {path:?};\n");
    let inner = check_file("crates/client/tests/a.rs", &line(format!("/{folder}/x")));
    let whole = check_file("crates/client/src/a.rs", &line(format!("/{folder}")));
    assert_eq!((!inner.is_empty(), !whole.is_empty()), (refused, refused));
}

/// Guards against files that grow without end, and against a limit that holds for tests.
#[rstest]
#[case("crates/core/src/a.rs", 500, false)]
#[case("crates/core/src/a.rs", 501, true)]
#[case("crates/core/tests/a.rs", 501, false)]
fn long_file(#[case] path: &str, #[case] lines: usize, #[case] refused: bool) {
    let text = "let a = 1;\n".repeat(lines);
    assert_eq!(!check_file(path, &text).is_empty(), refused);
}

/// Guards against module folders whose parent module is a file beside them.
#[rstest]
#[case::missing(&["crates/a/src/lib.rs", "crates/a/src/b/c.rs"], &["crates/a/src/b"])]
#[case::missing_between(&["crates/a/src/b/c/mod.rs"], &["crates/a/src/b"])]
#[case::beside(&["crates/a/src/b.rs", "crates/a/src/b/c.rs"], &["crates/a/src/b"])]
#[case::there(&["crates/a/src/b/mod.rs", "crates/a/src/b/c.rs"], &[])]
#[case::not_a_module(&["crates/a/tests/b/c.rs", "crates/a/src/bin/b/main.rs"], &[])]
fn folder(#[case] paths: &[&str], #[case] without: &[&str]) {
    let found = check_folders(paths.iter().copied());
    let folders: Vec<_> = found.iter().map(|found| found.path.as_str()).collect();
    assert_eq!(folders, without);
}
