//! Tests of `carobctl explain` on the log lines of two vms.

use std::path::PathBuf;
use std::process::{Command, Output};

const RENNES_LOG: &str = r#"{"vm":"rennes-1","time":1000,"level":"info","part":"config","text":"A configuration is in force.","version":7}
{"vm":"rennes-1","time":1500,"level":"info","part":"ready","text":"The process changed whether it takes callers.","ready":true,"age":12}
{"vm":"rennes-1","time":1800,"level":"info","part":"config","text":"A configuration is in force.","version":9}
{"vm":"rennes-1","time":2000,"level":"info","part":"request","text":"A request was admitted.","id":"abc","route":"plan","left":5000}
not a line at all
{"vm":"rennes-1","time":2040,"level":"info","part":"request","text":"An upstream was tried.","id":"abc","upstream":"i-1","end":"broken","took":40,"expected":120,"dropped":3}
{"vm":"rennes-1","time":2041,"level":"info","part":"config","text":"A configuration is in force.","version":12}
{"vm":"rennes-1","time":2050,"level":"info","part":"request","text":"A request was refused.","id":"abc","kind":"upstream_failed","why":"the upstream's try ended as broken"}
"#;

const BREST_LOG: &str = r#"{"vm":"brest-1","time":1990,"level":"info","part":"config","text":"A configuration is in force.","version":9}
{"vm":"brest-1","time":2300,"level":"info","part":"request","text":"A request was admitted.","id":"other","route":"plan","left":4700}
{"vm":"brest-1","time":2400,"level":"info","part":"request","text":"A request was admitted.","id":"abc","route":"plan","left":4600}
"#;

fn explain(logs: &[(&str, &str)], id: &str, json: bool) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let files: Vec<PathBuf> = logs
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
fn the_report_has_all_lines_in_order_and_the_state_at_the_request() {
    let output = explain(&[("brest.log", BREST_LOG), ("rennes.log", RENNES_LOG)], "abc", false);
    assert!(output.status.success());
    let report = String::from_utf8(output.stdout).unwrap();
    let position =
        |text: &str| report.find(text).unwrap_or_else(|| panic!("{text:?} missing in\n{report}"));
    assert!(position("0 ms  rennes-1  A request was admitted") < position("end=broken"));
    assert!(position("end=broken") < position("kind=upstream_failed"));
    assert!(position("kind=upstream_failed") < position("400 ms  brest-1"));
    assert!(report.contains("200 ms before  rennes-1  A configuration is in force.  version=9"));
    assert!(!report.contains("version=12") && !report.contains("version=7"));
    assert!(!report.contains("left=4700"));
    assert!(report.contains("not known: clocks of vms may differ"));
    assert!(report.contains("not known: 3 lines were left out"));
    assert!(report.contains("not known: 1 lines cannot be read"));
}

const CUT_LOG: &str = r#"{"vm":"rennes-1","time":900,"level":"warn","part":"paths","text":"The direct path to an upstream is lost; another vm reaches it.","upstream":"i-1","direct":"no_answer","via":"rennes-2","lost":1}
{"vm":"rennes-1","time":950,"level":"warn","part":"paths","text":"The direct path to an upstream is lost; another vm reaches it.","upstream":"i-9","direct":"no_answer","via":"rennes-2","lost":2}
{"vm":"rennes-1","time":960,"level":"warn","part":"paths","text":"The process changed whether it counts as cut off from upstreams.","cut_off":true,"lost":2,"tunnels":1}
{"vm":"rennes-1","time":1000,"level":"info","part":"request","text":"A request was admitted.","id":"abc","route":"plan","left":5000}
{"vm":"rennes-1","time":1040,"level":"info","part":"request","text":"An upstream was tried.","id":"abc","upstream":"i-1","end":"broken","connection":"via rennes-2"}
{"vm":"rennes-1","time":1300,"level":"info","part":"paths","text":"No vm reached an upstream; it takes no requests for a while.","upstream":"i-2","direct":"refused","pause":250}
{"vm":"rennes-1","time":1301,"level":"info","part":"request","text":"An upstream was tried.","id":"abc","upstream":"i-2","end":"unsent","connection":"refused"}
REFUSAL
{"vm":"rennes-1","time":1400,"level":"info","part":"paths","text":"The direct path to an upstream works again.","upstream":"i-1","after":500}
"#;
const NO_WAY: &str = r#"{"vm":"rennes-1","time":1302,"level":"info","part":"request","text":"A request was refused.","id":"abc","kind":"upstream_unavailable","why":"no vm reaches an upstream; the next trial is in 250 ms"}"#;
const BROKEN: &str = r#"{"vm":"rennes-1","time":1302,"level":"info","part":"request","text":"A request was refused.","id":"abc","kind":"upstream_failed","why":"the upstream's try ended as broken"}"#;

fn explain_cut(refusal: &str) -> String {
    let log = CUT_LOG.replace("REFUSAL", refusal);
    let output = explain(&[("rennes.log", &log)], "abc", false);
    String::from_utf8(output.stdout).unwrap()
}

// Guards against: the report hides which paths were lost, on which evidence and which way was taken.
#[test]
fn the_report_tells_the_paths_of_the_upstreams_that_were_tried() {
    let report = explain_cut(BROKEN);
    for text in [
        "100 ms before  rennes-1  The direct path to an upstream is lost",
        "direct=no_answer lost=1 upstream=i-1 via=rennes-2",
        "40 ms before  rennes-1  The process changed whether it counts as cut off",
        "connection=via rennes-2",
        "what the vm learned of its paths meanwhile:\n    300 ms  rennes-1  No vm reached an upstream",
        "direct=refused pause=250 upstream=i-2",
    ] {
        assert!(report.contains(text), "{text:?} missing in\n{report}");
    }
    assert!(!report.contains("i-9") && !report.contains("works again"), "{report}");
}

// Guards against: a refusal for want of a way is shown without the paths that were lost.
#[test]
fn the_report_of_a_request_without_a_way_tells_all_paths() {
    let report = explain_cut(NO_WAY);
    assert!(report.contains("upstream=i-9"), "{report}");
}

/// Returns the log lines of a vm whose clock is `ahead_ms` milliseconds ahead. Every vm reads six
/// records at the same times and gets request `id`, vm `rennes-1` 700 ms before the others.
fn log_lines(vm: &str, ahead_ms: u64, id: &str) -> String {
    let change = |i: u64| {
        let time = 1_000_000 + i * 1000 + ahead_ms;
        format!(
            r#"{{"vm":"{vm}","time":{time},"part":"upstreams","text":"An upstream changed.","upstream":"i-{i}","offset":{i}}}"#
        )
    };
    let request = |at: u64, text: &str| {
        let time = 1_000_000 + at + ahead_ms;
        format!(r#"{{"vm":"{vm}","time":{time},"part":"request","text":"{text}","id":"{id}"}}"#)
    };
    let mut lines: Vec<String> = (0..6).map(change).collect();
    let delay = if vm == "rennes-1" { 0 } else { 700 };
    lines.push(request(9000 + delay, "A request was admitted."));
    lines.push(request(9100 + delay, "A request was refused."));
    lines.join("\n")
}

#[test]
fn different_clocks_are_corrected_by_records_that_both_vms_read() {
    let (rennes, brest) = (log_lines("rennes-1", 0, "abc"), log_lines("brest-1", 90_000, "abc"));
    let output = explain(&[("r.log", &rennes), ("b.log", &brest)], "abc", false);
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(report.contains("700 ms  brest-1  A request was admitted"), "{report}");
    assert!(report.contains("the clock of brest-1 is 90000 ms ahead, by 6 records"), "{report}");
}

/// Vms read the same record up to half a second apart, so a difference of that size does not show
/// that the clocks differ.
#[test]
fn small_clock_differences_are_not_corrected() {
    let (rennes, brest) = (log_lines("rennes-1", 0, "abc"), log_lines("brest-1", 500, "abc"));
    let output = explain(&[("r.log", &rennes), ("b.log", &brest)], "abc", false);
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(report.contains("1200 ms  brest-1") && !report.contains("corrected"), "{report}");
}

/// The state of an earlier process of the vm says nothing about the process that took the request.
#[test]
fn the_state_of_an_earlier_process_is_left_out() {
    let restarted = RENNES_LOG.replace(
        r#"{"vm":"rennes-1","time":1800"#,
        "{\"vm\":\"rennes-1\",\"time\":1700,\"part\":\"main\",\"text\":\"The process started.\"}\n{\"vm\":\"rennes-1\",\"time\":1800",
    );
    let output = explain(&[("rennes.log", &restarted)], "abc", false);
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(report.contains("300 ms before  rennes-1  The process started"), "{report}");
    assert!(!report.contains("whether it takes callers"), "{report}");
}

#[test]
fn a_request_without_an_outcome_is_reported_as_such() {
    let output = explain(&[("brest.log", BREST_LOG)], "abc", true);
    let document = String::from_utf8(output.stdout).unwrap();
    assert!(document.contains("no line tells how the request ended"), "{document}");
}

#[test]
fn an_unknown_request_is_an_error() {
    let output = explain(&[("brest.log", BREST_LOG)], "nobody", false);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
}

/// Guards against a refused resumption that cannot be traced from the request that began the stream.
#[test]
fn a_resumption_is_part_of_the_story_of_the_stream_that_it_names() {
    let log = r#"{"vm":"v","time":1000,"part":"request","text":"An upstream was tried.","id":"abc","upstream":"e-1","version":"v1","end":"open"}
{"vm":"v","time":1900,"part":"request","text":"A caller takes up a stream.","id":"def","resumes":"abc","source":"own","version":"v1","serving":"v2","outcome":"no_upstream"}
{"vm":"v","time":1901,"part":"request","text":"A request was refused.","id":"def","kind":"stream_not_resumable"}
"#;
    let text = String::from_utf8(explain(&[("v.log", log)], "abc", false).stdout).unwrap();
    assert!(text.contains("A caller takes up a stream.  id=def"), "{text}");
    assert!(text.contains("source=own") && text.contains("serving=v2"), "{text}");
    let text = String::from_utf8(explain(&[("v.log", log)], "def", false).stdout).unwrap();
    assert!(text.contains("resumes=abc") && text.contains("stream_not_resumable"), "{text}");
}

/// Guards against a refusal for want of room that nothing in the report explains.
#[test]
fn a_refusal_comes_with_what_the_vm_knew_of_brittle_upstreams() {
    let log = r#"{"vm":"rennes-1","time":1000,"part":"rooms","text":"An upstream changed whether it is brittle.","upstream":"i-1","rejections":"6","source":"vm"}
{"vm":"rennes-1","time":1100,"part":"rooms","text":"An upstream had no room for a request.","upstream":"i-1","rejections":"6","running":4,"room":4}
{"vm":"rennes-1","time":1200,"part":"limits","text":"The limit of an upstream changed.","upstream":"i-2","limit":"1","source":"upstream"}
{"vm":"rennes-1","time":2000,"part":"request","text":"A request was admitted.","id":"abc"}
{"vm":"rennes-1","time":2001,"part":"request","text":"A request was refused.","id":"abc","kind":"upstream_unavailable","why":"upstreams take no more requests for 300 ms"}
"#;
    let output = explain(&[("rennes.log", log)], "abc", false);
    let report = String::from_utf8(output.stdout).unwrap();
    for known in ["rejections=6", "room=4", "limit=1"] {
        assert!(report.contains(known), "{known} missing in\n{report}");
    }
}
