//! `carobctl explain` on the lines of two vms.

use std::path::PathBuf;
use std::process::{Command, Output};

const RENNES: &str = r#"{"vm":"rennes-1","time":1000,"level":"info","part":"config","text":"A configuration is in force.","version":7}
{"vm":"rennes-1","time":1500,"level":"info","part":"ready","text":"The process changed whether it takes callers.","ready":true,"age":12}
{"vm":"rennes-1","time":1800,"level":"info","part":"config","text":"A configuration is in force.","version":9}
{"vm":"rennes-1","time":2000,"level":"info","part":"request","text":"A request was admitted.","id":"abc","route":"plan","left":5000}
not a line at all
{"vm":"rennes-1","time":2040,"level":"info","part":"request","text":"An upstream was tried.","id":"abc","upstream":"i-1","end":"broken","took":40,"expected":120,"dropped":3}
{"vm":"rennes-1","time":2041,"level":"info","part":"config","text":"A configuration is in force.","version":12}
{"vm":"rennes-1","time":2050,"level":"info","part":"request","text":"A request was refused.","id":"abc","kind":"upstream_failed","why":"the upstream's try ended as broken"}
"#;

const BREST: &str = r#"{"vm":"brest-1","time":1990,"level":"info","part":"config","text":"A configuration is in force.","version":9}
{"vm":"brest-1","time":2300,"level":"info","part":"request","text":"A request was admitted.","id":"other","route":"plan","left":4700}
{"vm":"brest-1","time":2400,"level":"info","part":"request","text":"A request was admitted.","id":"abc","route":"plan","left":4600}
"#;

fn explain(lines: &[(&str, &str)], id: &str, json: bool) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let files: Vec<PathBuf> = lines
        .iter()
        .map(|(name, text)| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).unwrap();
            path
        })
        .collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobctl"));
    command.arg("explain").arg(id).args(&files);
    if json {
        command.arg("--json");
    }
    command.output().unwrap()
}

#[test]
fn the_story_has_every_line_in_order_and_the_beliefs_of_the_moment() {
    let output = explain(&[("brest.log", BREST), ("rennes.log", RENNES)], "abc", false);
    assert!(output.status.success());
    let story = String::from_utf8(output.stdout).unwrap();
    let at =
        |text: &str| story.find(text).unwrap_or_else(|| panic!("{text:?} missing in\n{story}"));
    assert!(at("0 ms  rennes-1  A request was admitted") < at("end=broken"));
    assert!(at("end=broken") < at("kind=upstream_failed"));
    assert!(at("kind=upstream_failed") < at("400 ms  brest-1"));
    assert!(story.contains("200 ms before  rennes-1  A configuration is in force.  version=9"));
    assert!(!story.contains("version=12") && !story.contains("version=7"));
    assert!(!story.contains("left=4700"));
    assert!(story.contains("not known: clocks of vms may differ"));
    assert!(story.contains("not known: 3 lines were left out"));
    assert!(story.contains("not known: 1 lines cannot be read"));
}

#[test]
fn a_request_without_an_end_is_said_to_have_none() {
    let output = explain(&[("brest.log", BREST)], "abc", true);
    let document = String::from_utf8(output.stdout).unwrap();
    assert!(document.contains("no line tells how the request ended"), "{document}");
}

#[test]
fn an_unknown_request_is_an_error() {
    let output = explain(&[("brest.log", BREST)], "nobody", false);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
}
