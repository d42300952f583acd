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
    carob_bench::process::output(&mut command).unwrap()
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

/// The lines of a vm that follows the log, on a clock that is `ahead` milliseconds ahead.
fn follower(vm: &str, ahead: u64, id: &str) -> String {
    let change = |i: u64| {
        let time = 1_000_000 + i * 1000 + ahead;
        format!(
            r#"{{"vm":"{vm}","time":{time},"part":"upstreams","text":"An upstream changed.","upstream":"i-{i}","offset":{i}}}"#
        )
    };
    let request = |at: u64, text: &str| {
        let time = 1_000_000 + at + ahead;
        format!(r#"{{"vm":"{vm}","time":{time},"part":"request","text":"{text}","id":"{id}"}}"#)
    };
    let mut lines: Vec<String> = (0..6).map(change).collect();
    let offset = if vm == "rennes-1" { 0 } else { 700 };
    lines.push(request(9000 + offset, "A request was admitted."));
    lines.push(request(9100 + offset, "A request was refused."));
    lines.join("\n")
}

#[test]
fn clocks_that_differ_are_corrected_by_records_that_both_vms_read() {
    let (rennes, brest) = (follower("rennes-1", 0, "abc"), follower("brest-1", 90_000, "abc"));
    let output = explain(&[("r.log", &rennes), ("b.log", &brest)], "abc", false);
    let story = String::from_utf8(output.stdout).unwrap();
    assert!(story.contains("700 ms  brest-1  A request was admitted"), "{story}");
    assert!(story.contains("the clock of brest-1 is 90000 ms ahead, by 6 records"), "{story}");
}

/// Half a second is the time in which vms read the same record, not a difference of clocks.
#[test]
fn small_differences_are_not_corrected() {
    let (rennes, brest) = (follower("rennes-1", 0, "abc"), follower("brest-1", 500, "abc"));
    let output = explain(&[("r.log", &rennes), ("b.log", &brest)], "abc", false);
    let story = String::from_utf8(output.stdout).unwrap();
    assert!(story.contains("1200 ms  brest-1") && !story.contains("corrected"), "{story}");
}

/// What an earlier process of the vm believed says nothing of the one that took the request.
#[test]
fn beliefs_end_with_their_process() {
    let restarted = RENNES.replace(
        r#"{"vm":"rennes-1","time":1800"#,
        "{\"vm\":\"rennes-1\",\"time\":1700,\"part\":\"main\",\"text\":\"The process started.\"}\n{\"vm\":\"rennes-1\",\"time\":1800",
    );
    let output = explain(&[("rennes.log", &restarted)], "abc", false);
    let story = String::from_utf8(output.stdout).unwrap();
    assert!(story.contains("300 ms before  rennes-1  The process started"), "{story}");
    assert!(!story.contains("whether it takes callers"), "{story}");
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
