//! Reports how the requests of each route ended, by their size.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write, stdin, stdout};
use std::path::PathBuf;

use eyre::{Context, Result};

use crate::CommandOutcome;
use crate::log_lines::{Line, number_field, parse, text_field};

/// Weight of an expected output token against a prompt token in the size of a request.
const OUTPUT_WEIGHT: u64 = 10;
/// Routes with fewer requests are not reported: a tenth of them says little.
const MIN_REQUESTS: usize = 30;
/// Groups of the requests of a route, ordered by size: name, and the fractions where it begins and
/// ends.
const GROUPS: [(&str, f64, f64); 3] =
    [("all", 0.0, 1.0), ("next fifth", 0.7, 0.9), ("largest tenth", 0.9, 1.0)];

/// A request as its log lines tell it.
#[derive(Clone, Debug, Default)]
struct RequestLines {
    route: String,
    size: u64,
    end: String,
}

impl RequestLines {
    fn add(&mut self, line: &Line) {
        if !text_field(line, "route").is_empty() {
            text_field(line, "route").clone_into(&mut self.route);
            self.size = number_field(line, "prompt") + OUTPUT_WEIGHT * number_field(line, "output");
        }
        if let Some(end) = end_of(line) {
            self.end = end;
        }
    }
}

/// Returns how a request ended if the line says so; `open` for a stream that has started.
fn end_of(line: &Line) -> Option<String> {
    let end = text_field(line, "end");
    match text_field(line, "text") {
        "A stream ended whole." => Some("served".into()),
        "A stream was broken off." => Some(format!("broken off: {end}")),
        "A request ended without a response." => Some(format!("no response: {end}")),
        "The caller left its stream." => Some("left by its caller".into()),
        "A request was refused." => Some(format!("refused: {}", text_field(line, "kind"))),
        "An upstream was tried." if end == "answered" => Some("served".into()),
        "An upstream was tried." if end == "failed" => Some("failed by the upstream".into()),
        "An upstream was tried." if end == "open" => Some("open".into()),
        _ => None,
    }
}

fn read(requests: &mut BTreeMap<String, RequestLines>, input: impl BufRead) -> Result<()> {
    for text in input.split(b'\n') {
        let Some(line) = parse(&text?) else {
            continue;
        };
        let id = text_field(&line, "id");
        if text_field(&line, "part") == "request" && !id.is_empty() {
            requests.entry(id.to_owned()).or_default().add(&line);
        }
    }
    Ok(())
}

/// Counts the ends of requests, most frequent first.
fn count_ends(requests: &[&RequestLines]) -> Vec<(String, usize)> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for request in requests {
        let end = if request.end.is_empty() { "not known" } else { &request.end };
        *counts.entry(end).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().map(|(end, n)| (end.to_owned(), n)).collect();
    counts.sort_by(|(a, n), (b, m)| m.cmp(n).then(a.cmp(b)));
    counts
}

fn print(requests: BTreeMap<String, RequestLines>) -> std::io::Result<()> {
    let mut routes: BTreeMap<String, Vec<RequestLines>> = BTreeMap::new();
    for request in requests.into_values().filter(|request| request.size > 0) {
        routes.entry(request.route.clone()).or_default().push(request);
    }
    let mut out = stdout().lock();
    for (route, mut requests) in routes {
        if requests.len() < MIN_REQUESTS {
            continue;
        }
        requests.sort_by_key(|request| request.size);
        writeln!(out, "route {route}")?;
        for (name, from, to) in GROUPS {
            let bound = |fraction: f64| (requests.len() as f64 * fraction) as usize;
            let group: Vec<&RequestLines> = requests[bound(from)..bound(to)].iter().collect();
            let sizes = (group[0].size, group[group.len() - 1].size);
            let served = group.iter().filter(|request| request.end == "served").count();
            let share = served as f64 / group.len() as f64;
            let ends = count_ends(&group).into_iter().filter(|(end, _)| end != "served");
            let ends: Vec<String> = ends.map(|(end, n)| format!("{end} {n}")).collect();
            let (least, most) = sizes;
            let count = group.len();
            let others = ends.join(", ");
            writeln!(
                out,
                "  {name:<14} {count:>6} of size {least} to {most}, served {share:.2}; {others}"
            )?;
        }
    }
    Ok(())
}

/// Prints for each route which share of its requests was served and how the others ended, for all
/// and for the largest, from the log lines in `files`, or on standard input if there are no files.
///
/// The size of a request is its prompt tokens plus ten times its expected output tokens.
///
/// # Errors
///
/// Returns an error when a file or standard input cannot be read.
pub fn sizes(files: &[PathBuf]) -> Result<CommandOutcome> {
    let mut requests = BTreeMap::new();
    if files.is_empty() {
        read(&mut requests, stdin().lock())?;
    }
    for file in files {
        let opened = File::open(file).wrap_err_with(|| file.display().to_string())?;
        read(&mut requests, BufReader::new(opened)).wrap_err_with(|| file.display().to_string())?;
    }
    print(requests)?;
    Ok(CommandOutcome::Done)
}
