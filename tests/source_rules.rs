//! Checks on the source code: the modules of a program have no dependency cycles, and processes are
//! started only through the test harness.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Dependencies = BTreeMap<String, BTreeSet<String>>;

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let found = paths.flat_map(|path| if path.is_dir() { rust_files(&path) } else { vec![path] });
    found.filter(|path| path.extension().is_some_and(|extension| extension == "rs")).collect()
}

/// Returns each top-level module of a crate with the modules that it names after `crate::`.
fn dependencies(folder: &Path) -> Dependencies {
    let mut all = Dependencies::new();
    for path in rust_files(folder) {
        let relative = path.strip_prefix(folder).unwrap().with_extension("");
        let module = relative.iter().next().unwrap().to_str().unwrap().to_owned();
        if module == "lib" || module == "main" {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let named = text.split("crate::").skip(1).map(|rest| {
            let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
            rest[..end.unwrap_or(rest.len())].to_owned()
        });
        all.entry(module.clone()).or_default().extend(named.filter(|name| *name != module));
    }
    let modules: BTreeSet<String> = all.keys().cloned().collect();
    all.values_mut().for_each(|named| named.retain(|name| modules.contains(name)));
    all
}

/// Returns the modules that are part of a cycle or depend on one: those that are left after modules
/// without remaining dependencies were removed until there were none.
fn modules_in_cycles(mut dependencies: Dependencies) -> Vec<String> {
    loop {
        let leaves: Vec<String> = dependencies
            .iter()
            .filter(|(_, named)| named.is_empty())
            .map(|(m, _)| m.clone())
            .collect();
        if leaves.is_empty() {
            return dependencies.into_keys().collect();
        }
        for module in leaves {
            dependencies.remove(&module);
            dependencies.values_mut().for_each(|named| {
                named.remove(&module);
            });
        }
    }
}

#[test]
fn a_dependency_cycle_is_found() {
    let named = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let dependencies: Dependencies = [
        ("a".to_owned(), named(&["b"])),
        ("b".to_owned(), named(&["a", "c"])),
        ("c".to_owned(), named(&[])),
    ]
    .into();
    assert_eq!(modules_in_cycles(dependencies), ["a", "b"]);
}

#[test]
fn no_program_has_a_dependency_cycle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for program in ["carob-entry", "carob-edge", "carobctl", "carob-net"] {
        let left = modules_in_cycles(dependencies(&root.join("crates").join(program).join("src")));
        assert!(left.is_empty(), "{program}: {left:?}");
    }
}

/// The only file that may start processes directly; it starts them only while no port is probed.
const HARNESS_FILE: &str = "benches/carob-bench/src/process.rs";

/// Returns the lines of `text` that start a process directly, if it names `process::Command`.
fn direct_starts(text: &str) -> Vec<String> {
    let names_command = text.contains("process::Command") || text.contains("process::{");
    if !names_command || !text.contains("Command::new") {
        return Vec::new();
    }
    let starts = [".spawn()", ".output()", ".status()", ".exec()"];
    let found = text.lines().filter(|line| starts.iter().any(|start| line.contains(start)));
    found.map(|line| line.trim().to_owned()).collect()
}

#[test]
fn a_direct_start_is_found() {
    let direct = "use std::process::Command;\nlet child = Command::new(\"true\").spawn();\n";
    assert_eq!(direct_starts(direct), ["let child = Command::new(\"true\").spawn();"]);
    let inline = "let mut command = std::process::Command::new(\"true\");\ncommand.output();\n";
    assert_eq!(direct_starts(inline), ["command.output();"]);
    let through_harness =
        "use std::process::Command;\nspawn(&mut Command::new(\"true\")).unwrap();\n";
    assert!(direct_starts(through_harness).is_empty());
}

/// A process that starts while another thread probes a port inherits the probing socket until it
/// executes its program, so the port is taken when the test binds it.
#[test]
fn processes_start_only_through_the_harness() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folders = ["benches", "crates", "examples", "platform", "src", "tests"];
    let exempt = [HARNESS_FILE, "tests/source_rules.rs"].map(|file| root.join(file));
    let files = folders.iter().flat_map(|folder| rust_files(&root.join(folder)));
    let direct: Vec<(PathBuf, Vec<String>)> = files
        .filter(|path| !exempt.contains(path))
        .map(|path| (path.clone(), direct_starts(&std::fs::read_to_string(&path).unwrap())))
        .filter(|(_, starts)| !starts.is_empty())
        .collect();
    assert!(direct.is_empty(), "processes started directly: {direct:#?}");
}
