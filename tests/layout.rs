//! The files of a program use each other in one direction.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Uses = BTreeMap<String, BTreeSet<String>>;

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let found = paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] });
    found.filter(|path| path.extension().is_some_and(|end| end == "rs")).collect()
}

/// The top module of a file, and those that it names after `crate::`.
fn uses(folder: &Path) -> Uses {
    let mut all = Uses::new();
    for path in sources(folder) {
        let inner = path.strip_prefix(folder).unwrap().with_extension("");
        let module = inner.iter().next().unwrap().to_str().unwrap().to_owned();
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

/// Modules that use each other in a circle: those left when all that use nothing left are taken
/// away, again and again.
fn circles(mut uses: Uses) -> Vec<String> {
    loop {
        let done: Vec<String> =
            uses.iter().filter(|(_, named)| named.is_empty()).map(|(m, _)| m.clone()).collect();
        if done.is_empty() {
            return uses.into_keys().collect();
        }
        for module in done {
            uses.remove(&module);
            uses.values_mut().for_each(|named| {
                named.remove(&module);
            });
        }
    }
}

#[test]
fn a_circle_is_found() {
    let named = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let uses: Uses = [
        ("a".to_owned(), named(&["b"])),
        ("b".to_owned(), named(&["a", "c"])),
        ("c".to_owned(), named(&[])),
    ]
    .into();
    assert_eq!(circles(uses), ["a", "b"]);
}

#[test]
fn no_program_has_a_circle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for program in ["carob-entry", "carob-edge", "carobctl", "carob-net"] {
        let left = circles(uses(&root.join("crates").join(program).join("src")));
        assert!(left.is_empty(), "{program}: {left:?}");
    }
}

/// The only file that may start a process: it does so while no port is being probed.
const PROCESS_FILE: &str = "benches/carob-bench/src/process.rs";

/// Calls that start a process directly, in a file that names `process::Command`.
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
    let through = "use std::process::Command;\nspawn(&mut Command::new(\"true\")).unwrap();\n";
    assert!(direct_starts(through).is_empty());
}

/// A process that starts while another thread probes a port inherits the probing socket until it
/// executes its program, so the port is taken when the test binds it.
#[test]
fn processes_start_only_through_the_harness() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folders = ["benches", "crates", "examples", "platform", "src", "tests"];
    let own = [PROCESS_FILE, "tests/layout.rs"].map(|file| root.join(file));
    let files = folders.iter().flat_map(|folder| sources(&root.join(folder)));
    let direct: Vec<(PathBuf, Vec<String>)> = files
        .filter(|path| !own.contains(path))
        .map(|path| (path.clone(), direct_starts(&std::fs::read_to_string(&path).unwrap())))
        .filter(|(_, starts)| !starts.is_empty())
        .collect();
    assert!(direct.is_empty(), "processes started directly: {direct:#?}");
}
