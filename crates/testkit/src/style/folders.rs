use std::collections::BTreeSet;

use super::Violation;

/// Checks that each folder below a `src` folder has a `mod.rs`, given the paths of all files.
///
/// Folders below `src/bin` hold programs, which have a `main.rs` instead.
pub fn check_folders<'a>(paths: impl IntoIterator<Item = &'a str>) -> Vec<Violation> {
    let paths: BTreeSet<&str> = paths.into_iter().collect();
    let mut folders = BTreeSet::new();
    for path in &paths {
        let mut folder = *path;
        while let Some((parent, _)) = folder.rsplit_once('/') {
            if is_module(parent) {
                folders.insert(parent);
            }
            folder = parent;
        }
    }
    let without = folders.into_iter().filter(|folder| {
        let module = format!("{folder}/mod.rs");
        !paths.contains(module.as_str())
    });
    without.map(|folder| Violation::new(folder, 0, "the folder has no mod.rs")).collect()
}

/// Whether a folder lies below `src`.
fn is_module(folder: &str) -> bool {
    folder.contains("/src/") && !folder.contains("/src/bin")
}
