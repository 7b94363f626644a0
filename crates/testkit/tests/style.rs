//! Applies the style checks to all code of the workspace, and tests the checks themselves.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;

use jackdawpin_testkit::style::Violation;
use jackdawpin_testkit::style::check_file;
use jackdawpin_testkit::style::check_folders;

/// Collects the Rust files below a folder, without those in `target`.
fn collect_rust_files(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() && !path.ends_with("target") {
            collect_rust_files(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

/// Guards against code that violates the conventions of docs/design.md.
#[test]
fn workspace_has_no_violations() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the workspace");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        collect_rust_files(&root.join(folder), &mut files).expect("readable folders");
    }
    let relative = |file: &PathBuf| {
        let path = file.strip_prefix(root).expect("a path below the root");
        path.to_str().expect("a path in UTF-8").to_owned()
    };
    let paths: Vec<String> = files.iter().map(relative).collect();
    assert!(paths.iter().any(|path| path == "crates/testkit/tests/style.rs"), "found {paths:?}");

    let mut violations = check_folders(paths.iter().map(String::as_str));
    for (file, path) in files.iter().zip(&paths) {
        let text = fs::read_to_string(file).expect("a readable file");
        violations.extend(check_file(path, &text));
    }
    let lines: Vec<String> = violations.iter().map(Violation::to_string).collect();
    assert!(lines.is_empty(), "{} violations:\n{}", lines.len(), lines.join("\n"));
}

/// Guards against a check that never reports anything: each snippet violates one rule, on the given
/// line.
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
fn violation_is_reported_with_its_line(
    #[case] text: &str,
    #[case] line: usize,
    #[case] message: &str,
) {
    let violations = check_file("crates/core/src/a/mod.rs", text);
    let reported: Vec<_> =
        violations.iter().map(|violation| (violation.line, violation.message.as_str())).collect();
    assert_eq!(reported, [(line, message)]);
}

/// Guards against a check that stops at the first violation, so that each run reports only one.
#[test]
fn all_violations_are_reported() {
    let text = "use std::{a, b};\nuse http::Uri;\nfn f(a: &dyn Fn()) {}\n";
    let violations = check_file("crates/core/src/a.rs", text);
    let lines: Vec<_> = violations.iter().map(|violation| violation.line).collect();
    assert_eq!(lines, [1, 2, 3]);
    assert_eq!(violations[0].to_string(), "crates/core/src/a.rs:1: an import must not have braces");
}

/// Guards against a check that reports code that the conventions allow.
#[rstest]
#[case::groups(
    "//! Doc.\n\nmod a;\n\nuse std::io;\n\nuse http::Uri;\n\nuse crate::b;\n\npub use self::a::C;\n"
)]
#[case::attribute("use std::io;\n#[cfg(test)]\nuse std::fs;\n")]
#[case::inner("use std::io;\n\nfn f() {\n    use crate::A;\n    use std::fs;\n}\n")]
#[case::comment("// A dyn trait object would cost a call.\nlet a = 1; // no dyn here\n")]
#[case::name("let dynamic = anodyn + 1;\n")]
#[case::path("let path = \"/v1/call\";\nlet other = \"/works\";\n")]
fn allowed_code_is_not_reported(#[case] text: &str) {
    assert_eq!(check_file("crates/core/src/a/mod.rs", text), []);
}

/// Guards against a `dyn` check that covers too few or too many folders.
#[rstest]
#[case("crates/core/src/lib.rs", true)]
#[case("crates/daemon/src/front/a.rs", true)]
#[case("crates/daemon/src/upstream/a.rs", true)]
#[case("crates/daemon/src/peer/a.rs", true)]
#[case("crates/daemon/src/control/a.rs", true)]
#[case("crates/daemon/src/settings/a.rs", false)]
#[case("crates/client/src/main.rs", false)]
#[case("crates/core/tests/a.rs", false)]
fn dyn_is_reported_on_the_request_path(#[case] path: &str, #[case] is_reported: bool) {
    assert_eq!(!check_file(path, "type A = Box<dyn Fn()>;\n").is_empty(), is_reported);
}

/// Guards against string literals with paths that exist only on one machine. The paths are composed
/// at run time here, because this file is checked as well.
#[rstest]
#[case("home", true)]
#[case("root", true)]
#[case("work", true)]
#[case("Users", true)]
#[case("proc", false)]
fn machine_specific_path_is_reported(#[case] folder: &str, #[case] is_reported: bool) {
    let constant_with = |path: String| format!("const A: &str = {path:?};\n");
    let in_subfolder =
        check_file("crates/client/tests/a.rs", &constant_with(format!("/{folder}/x")));
    let folder_itself = check_file("crates/client/src/a.rs", &constant_with(format!("/{folder}")));
    assert_eq!((!in_subfolder.is_empty(), !folder_itself.is_empty()), (is_reported, is_reported));
}

/// Guards against files of more than 500 lines, and against a limit that also applies to tests.
#[rstest]
#[case("crates/core/src/a.rs", 500, false)]
#[case("crates/core/src/a.rs", 501, true)]
#[case("crates/core/tests/a.rs", 501, false)]
fn long_file_is_reported(#[case] path: &str, #[case] lines: usize, #[case] is_reported: bool) {
    let text = "let a = 1;\n".repeat(lines);
    assert_eq!(!check_file(path, &text).is_empty(), is_reported);
}

/// Guards against module folders without a `mod.rs`, such as one whose module is a file beside the
/// folder.
#[rstest]
#[case::missing(&["crates/a/src/lib.rs", "crates/a/src/b/c.rs"], &["crates/a/src/b"])]
#[case::missing_between(&["crates/a/src/b/c/mod.rs"], &["crates/a/src/b"])]
#[case::beside(&["crates/a/src/b.rs", "crates/a/src/b/c.rs"], &["crates/a/src/b"])]
#[case::there(&["crates/a/src/b/mod.rs", "crates/a/src/b/c.rs"], &[])]
#[case::not_a_module(&["crates/a/tests/b/c.rs", "crates/a/src/bin/b/main.rs"], &[])]
fn folder_without_mod_rs_is_reported(#[case] paths: &[&str], #[case] expected: &[&str]) {
    let violations = check_folders(paths.iter().copied());
    let folders: Vec<_> = violations.iter().map(|violation| violation.path.as_str()).collect();
    assert_eq!(folders, expected);
}
