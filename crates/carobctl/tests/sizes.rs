//! Tests of `carobctl sizes`.

use std::fmt::Write;
use std::process::Command;

/// Returns the lines of 100 requests of one route: the larger a request, the more output it expects;
/// the ten largest time out, five are refused and the others end whole.
fn log_lines() -> String {
    let mut lines = String::new();
    for i in 0..100 {
        let id = format!("request-{i}");
        let line = |rest: String| {
            format!("  1.25 rennes-1 {{\"part\":\"request\",\"id\":\"{id}\",{rest}}}\n")
        };
        let size = format!("\"route\":\"brief\",\"prompt\":1000,\"output\":{i}");
        if i < 5 {
            let text = "\"text\":\"A request was refused.\",\"kind\":\"rate_exceeded\"";
            lines.write_str(&line(format!("{text},{size}"))).unwrap();
            continue;
        }
        let text = "\"text\":\"A request was admitted.\"";
        lines.write_str(&line(format!("{text},{size}"))).unwrap();
        let text = "\"text\":\"An upstream was tried.\",\"end\":\"open\"";
        lines.write_str(&line(text.into())).unwrap();
        let end = match i {
            90.. => "\"text\":\"A stream was broken off.\",\"end\":\"silent\"",
            _ => "\"text\":\"A stream ended whole.\"",
        };
        lines.write_str(&line(end.into())).unwrap();
    }
    lines
}

// A kind of request whose largest were served half as often as all looked healthy in every count.
#[test]
fn the_report_shows_that_the_largest_requests_are_served_less() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("rennes.log");
    std::fs::write(&path, log_lines()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobctl"));
    command.arg("sizes").arg(&path);
    let output = carob_bench::process::output(&mut command).unwrap();
    assert!(output.status.success());
    let report = String::from_utf8(output.stdout).unwrap();
    let line = |name: &str| report.lines().find(|line| line.contains(name)).unwrap().to_owned();
    assert!(line("all ").contains("100 of size 1000 to 1990, served 0.85"), "{report}");
    assert!(line("all ").contains("refused: rate_exceeded 5"), "{report}");
    assert!(line("next fifth").contains("20 of size 1700 to 1890, served 1.00"), "{report}");
    assert!(line("largest tenth").contains("10 of size 1900 to 1990, served 0.00"), "{report}");
    assert!(line("largest tenth").contains("broken off: silent 10"), "{report}");
}
