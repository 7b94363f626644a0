use std::collections::BTreeSet;

use super::Violation;

/// Checks that each module folder has a `mod.rs`. `paths` holds the paths of all files.
///
/// Folders below `src/bin` are not checked: they hold programs, which have a `main.rs` instead.
pub fn check_folders<'a>(paths: impl IntoIterator<Item = &'a str>) -> Vec<Violation> {
    let paths: BTreeSet<&str> = paths.into_iter().collect();
    let mut folders = BTreeSet::new();
    for path in &paths {
        let mut current = *path;
        while let Some((parent, _)) = current.rsplit_once('/') {
            if is_module_folder(parent) {
                folders.insert(parent);
            }
            current = parent;
        }
    }
    let incomplete = folders.into_iter().filter(|folder| {
        let module_file = format!("{folder}/mod.rs");
        !paths.contains(module_file.as_str())
    });
    incomplete.map(|folder| Violation::new(folder, 0, "the folder has no mod.rs")).collect()
}

/// Whether a folder lies below a `src` folder and not in `src/bin`.
fn is_module_folder(folder: &str) -> bool {
    folder.contains("/src/") && !folder.contains("/src/bin")
}
