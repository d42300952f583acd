//! Traces a request through the log lines of several processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Write, stdin, stdout};
use std::path::PathBuf;

use eyre::{Context, Result};
use serde_json::{Value, json};

use crate::CommandOutcome;
use crate::clock_offsets::{ClockOffset, ClockSamples};
use crate::log_lines::{Line, number_field, parse, text_field};

/// Parts whose log lines tell the state of a process.
const STATE_PARTS: [&str; 10] = [
    "config",
    "ready",
    "follow",
    "duty",
    "upstreams",
    "quarantine",
    "main",
    PATHS_PART,
    "limits",
    "rooms",
];
/// Part whose lines tell which upstreams a vm reaches.
const PATHS_PART: &str = "paths";
/// Parts whose lines tell why no upstream was asked, so that the request names none, with the start of the
/// reason of such a refusal.
const REFUSAL_PARTS: [(&str, &str); 3] = [
    (PATHS_PART, "no vm reaches"),
    ("limits", "upstreams take no more requests"),
    ("rooms", "upstreams take no more requests"),
];

const START_MESSAGE: &str = "The process started.";
const UNKNOWN_VM: &str = "?"; // for lines without a vm

/// The log lines of a request and the state of the vms that handled it.
#[derive(Default)]
struct RequestTrace {
    /// The lines of the request, each with the vm that logged the line.
    lines: Vec<(String, Line)>,
    /// The last state line of each vm and state key.
    latest_state: BTreeMap<(String, String), Line>,
    /// The state lines of each vm when the request arrived there.
    state_at_arrival: Vec<(String, Line)>,
    /// What vms learned of their paths between two lines of the request.
    path_changes: Vec<(String, Line)>,
    /// The same since the last line of the request at each vm.
    pending_changes: BTreeMap<String, Vec<Line>>,
    clock_samples: ClockSamples,
    /// Vms whose times were corrected, with the offsets of their clocks.
    clock_offsets: Vec<(String, ClockOffset)>,
    /// Number of lines that are not JSON objects.
    unreadable: u64,
    /// Number of lines that the processes dropped.
    dropped: u64,
}

/// Returns the subject of a state line; a later line with the same key replaces the earlier.
fn state_key(line: &Line) -> String {
    let about = ["topic", "upstream", "suspect"].map(|field| text_field(line, field));
    format!("{}/{}", text_field(line, "part"), about.concat())
}

impl RequestTrace {
    fn read(&mut self, input: impl BufRead, id: &str, default_vm: &str) -> Result<()> {
        let mut vm = default_vm.to_owned();
        for line in input.split(b'\n') {
            let line = line?;
            match parse(&line) {
                Some(parsed) => {
                    if !text_field(&parsed, "vm").is_empty() {
                        text_field(&parsed, "vm").clone_into(&mut vm);
                    }
                    self.add_line(parsed, id, &vm);
                }
                None if line.is_empty() => {}
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    fn add_line(&mut self, line: Line, id: &str, vm: &str) {
        self.dropped += number_field(&line, "dropped");
        // A caller that takes up the stream of the request names it in a request of its own.
        if text_field(&line, "id") == id || text_field(&line, "resumes") == id {
            if self.lines.iter().all(|(known, _)| known != vm) {
                let own = self.latest_state.iter().filter(|((of, _), _)| of == vm);
                self.state_at_arrival
                    .extend(own.map(|((of, _), state_line)| (of.clone(), state_line.clone())));
            }
            let changes = self.pending_changes.remove(vm).unwrap_or_default();
            self.path_changes.extend(changes.into_iter().map(|change| (vm.to_owned(), change)));
            self.lines.push((vm.to_owned(), line));
        } else if STATE_PARTS.contains(&text_field(&line, "part")) {
            if text_field(&line, "text") == START_MESSAGE {
                // A restarted process has none of its earlier state.
                self.latest_state.retain(|(of, _), _| of != vm);
            }
            if let Some(offset) = line.get("offset") {
                let record = format!("{}/{offset}", state_key(&line));
                self.clock_samples.add_sample(vm, record, number_field(&line, "time"));
            }
            let is_at_vm = self.lines.iter().any(|(known, _)| known == vm);
            if is_at_vm && text_field(&line, "part") == PATHS_PART {
                self.pending_changes.entry(vm.to_owned()).or_default().push(line.clone());
            }
            self.latest_state.insert((vm.to_owned(), state_key(&line)), line);
        }
    }

    /// Converts the times of all vms to the clock of the vm whose lines were read first, and sorts
    /// the lines by time.
    fn correct_clocks(&mut self) {
        let vms: BTreeSet<String> = self.lines.iter().map(|(vm, _)| vm.clone()).collect();
        let Some((first, _)) = self.lines.first().cloned() else {
            return;
        };
        let offset =
            |vm: &String| Some((vm.clone(), self.clock_samples.offset_between(vm, &first)?));
        self.clock_offsets = vms.iter().filter_map(offset).collect();
        for (vm, offset) in &self.clock_offsets {
            let lines = self.lines.iter_mut().chain(&mut self.state_at_arrival);
            let lines = lines.chain(&mut self.path_changes);
            for (_, line) in lines.filter(|(of, _)| of == vm) {
                let time = number_field(line, "time").saturating_add_signed(-offset.millis);
                line.insert("time".into(), time.into());
            }
        }
        self.lines.sort_by_key(|(_, line)| number_field(line, "time"));
        self.path_changes.sort_by_key(|(_, line)| number_field(line, "time"));
    }

    /// Returns the upstreams that the lines of the request name.
    fn upstreams(&self) -> BTreeSet<&str> {
        self.lines.iter().map(|(_, line)| text_field(line, "upstream")).collect()
    }

    /// Reports whether a state line concerns the request: one about an upstream that its lines name, or
    /// of a part that may explain its refusal.
    fn is_relevant(&self, line: &Line) -> bool {
        let (upstream, part) = (text_field(line, "upstream"), text_field(line, "part"));
        let is_reason = |why: &str| {
            REFUSAL_PARTS.iter().any(|(of, start)| *of == part && why.starts_with(start))
        };
        upstream.is_empty()
            || self.upstreams().contains(upstream)
            || self.lines.iter().any(|(_, of)| is_reason(text_field(of, "why")))
    }

    /// Reports whether a line says that the request ended.
    fn has_ended(&self) -> bool {
        let ends =
            ["refused", "ended whole", "broken off", "left its stream", "without a response"];
        self.lines.iter().any(|(_, line)| {
            let text = text_field(line, "text");
            ends.iter().any(|end| text.contains(end)) || text_field(line, "end") == "answered"
        })
    }

    /// Returns what the lines leave unknown.
    fn limitations(&self) -> Vec<String> {
        let mut limitations = Vec::new();
        let vms: Vec<&String> = self.lines.iter().map(|(vm, _)| vm).collect();
        if vms.windows(2).any(|pair| pair[0] != pair[1]) {
            limitations.push(
                "clocks of vms may differ by up to two seconds, so lines of two vms may stand in \
                 another order"
                    .into(),
            );
        }
        if !self.has_ended() {
            limitations.push("no line tells how the request ended".into());
        }
        if self.dropped > 0 {
            limitations.push(format!("{} lines were left out by the processes", self.dropped));
        }
        if self.unreadable > 0 {
            limitations.push(format!("{} lines cannot be read", self.unreadable));
        }
        limitations
    }
}

/// Formats the fields of a line that are not printed elsewhere; its id if it is not `id`.
fn details(line: &Line, id: &str) -> String {
    let known = ["time", "level", "part", "text", "vm", "dropped"];
    let is_known =
        |name: &str| known.contains(&name) || (name == "id" && text_field(line, name) == id);
    let rest = line.iter().filter(|(name, _)| !is_known(name));
    let shown = rest.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    shown.collect::<Vec<_>>().join(" ")
}

fn print(trace: &RequestTrace, id: &str) -> std::io::Result<()> {
    let mut out = stdout().lock();
    let first = number_field(&trace.lines[0].1, "time");
    writeln!(out, "request {id}, from {first} ms since 1970\n")?;
    for (vm, line) in &trace.lines {
        let at = number_field(line, "time").saturating_sub(first);
        writeln!(out, "{at:>7} ms  {vm}  {}  {}", text_field(line, "text"), details(line, id))?;
    }
    writeln!(out, "\nwhat the vm believed when the request came:")?;
    for (vm, line) in trace.state_at_arrival.iter().filter(|(_, line)| trace.is_relevant(line)) {
        let age = first.saturating_sub(number_field(line, "time"));
        writeln!(
            out,
            "{age:>7} ms before  {vm}  {}  {}",
            text_field(line, "text"),
            details(line, id)
        )?;
    }
    let others = trace.state_at_arrival.iter().filter(|(_, line)| !trace.is_relevant(line)).count();
    if others > 0 {
        writeln!(out, "and lines about {others} other upstreams, which --json prints")?;
    }
    let changes: Vec<_> =
        trace.path_changes.iter().filter(|(_, line)| trace.is_relevant(line)).collect();
    if !changes.is_empty() {
        writeln!(out, "\nwhat the vm learned of its paths meanwhile:")?;
    }
    for (vm, line) in changes {
        let at = number_field(line, "time").saturating_sub(first);
        writeln!(out, "{at:>7} ms  {vm}  {}  {}", text_field(line, "text"), details(line, id))?;
    }
    for (vm, offset) in &trace.clock_offsets {
        let (millis, samples) = (offset.millis, offset.samples);
        writeln!(out, "corrected: the clock of {vm} is {millis} ms ahead, by {samples} records")?;
    }
    for limitation in trace.limitations() {
        writeln!(out, "not known: {limitation}")?;
    }
    Ok(())
}

fn print_json(trace: &RequestTrace, id: &str) -> Result<()> {
    let lines = |list: &[(String, Line)]| -> Vec<Value> {
        list.iter().map(|(vm, line)| json!({ "vm": vm, "line": line })).collect()
    };
    let clock_offsets: Vec<Value> = trace
        .clock_offsets
        .iter()
        .map(|(vm, offset)| json!({ "vm": vm, "millis": offset.millis, "marks": offset.samples }))
        .collect();
    let document = json!({
        "id": id, "lines": lines(&trace.lines), "beliefs": lines(&trace.state_at_arrival),
        "paths": lines(&trace.path_changes),
        "corrected": clock_offsets, "unknown": trace.limitations(),
    });
    writeln!(stdout().lock(), "{document}")?;
    Ok(())
}

/// Prints the trace of the request `id` from the log lines in `files`, or on standard input if
/// there are no files.
///
/// # Errors
///
/// Returns an error when a file or standard input cannot be read.
pub fn explain(id: &str, files: &[PathBuf], as_json: bool) -> Result<CommandOutcome> {
    let mut trace = RequestTrace::default();
    if files.is_empty() {
        trace.read(stdin().lock(), id, UNKNOWN_VM)?;
    }
    for file in files {
        let opened = File::open(file).wrap_err_with(|| file.display().to_string())?;
        let named = file.file_stem().and_then(|stem| stem.to_str()).unwrap_or(UNKNOWN_VM);
        let read = trace.read(BufReader::new(opened), id, named);
        read.wrap_err_with(|| file.display().to_string())?;
    }
    if trace.lines.is_empty() {
        eprintln!("carobctl: no line names the request {id:?}");
        return Ok(CommandOutcome::Invalid);
    }
    trace.correct_clocks();
    match as_json {
        true => print_json(&trace, id)?,
        false => print(&trace, id)?,
    }
    Ok(CommandOutcome::Done)
}
