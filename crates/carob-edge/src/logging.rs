//! Writes log lines as JSON to standard output, rate limited and without blocking.

use std::collections::HashMap;
use std::io::IsTerminal;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, UNIX_EPOCH};

use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::kv::{Key, Value as FieldValue, Visitor};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use serde_json::{Map, Value};

/// Maximum number of lines of each log target in a second.
const MAX_LINES_PER_SECOND: u32 = 400;
// A pipe takes a write of up to 4096 bytes whole or not at all.
const MAX_LINE_BYTES: usize = 4000;
const SECOND: Duration = Duration::from_secs(1);

/// Writes lines to standard output; a line over the rate limit or that the pipe cannot take is
/// dropped and counted.
#[derive(Debug, Default)]
struct StdoutAppend {
    vm: String,
    budgets: Mutex<HashMap<String, (Duration, u32)>>,
    dropped: AtomicU64,
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: Key, value: FieldValue) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Encodes the fields of a line; long texts are shortened until the line has its maximum size.
fn encode_line(fields: &mut Map<String, Value>) -> Vec<u8> {
    let mut max_text = MAX_LINE_BYTES;
    loop {
        let line = serde_json::to_vec(fields).unwrap_or_default();
        if line.len() <= MAX_LINE_BYTES || max_text == 0 {
            return line;
        }
        max_text /= 2;
        for value in fields.values_mut() {
            if let Value::String(text) = value {
                *text = shorten(text, max_text);
            }
        }
    }
}

/// Leaves out the middle of a text that is too long: the end of an error names the position.
fn shorten(text: &str, max_bytes: usize) -> String {
    if text.len() <= max_bytes {
        return text.to_owned();
    }
    let start = text.floor_char_boundary(max_bytes * 3 / 4);
    let end = text.ceil_char_boundary(text.len() - max_bytes / 4);
    format!("{}...{}", &text[..start], &text[end..])
}

impl StdoutAppend {
    /// Counts a line and reports whether the target `part` may write it in this second.
    fn within_rate_limit(&self, part: &str, now: Duration) -> bool {
        let Ok(mut budgets) = self.budgets.lock() else {
            return false;
        };
        if let Some((since, used)) = budgets.get_mut(part) {
            if now.saturating_sub(*since) >= SECOND || now < *since {
                (*since, *used) = (now, 0);
            }
            *used += 1;
            return *used <= MAX_LINES_PER_SECOND;
        }
        budgets.insert(part.to_owned(), (now, 1));
        true
    }

    fn write(&self, line: &[u8]) {
        let written = rustix::io::write(std::io::stdout(), line);
        if written != Ok(line.len()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for StdoutAppend {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        if !self.within_rate_limit(record.target(), now) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut fields = Map::new();
        fields.insert("vm".into(), self.vm.as_str().into());
        fields.insert("time".into(), (now.as_millis() as u64).into());
        fields.insert("level".into(), record.level().name().to_ascii_lowercase().into());
        fields.insert("part".into(), record.target().into());
        fields.insert("text".into(), record.payload().into());
        record.key_values().visit(&mut Fields(&mut fields))?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.insert("dropped".into(), dropped.into());
        }
        let mut line = encode_line(&mut fields);
        line.push(b'\n');
        self.write(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Starts logging; every line names `vm`.
pub fn start(vm: &str) {
    if !std::io::stdout().is_terminal() {
        let flags =
            rustix::fs::fcntl_getfl(std::io::stdout()).unwrap_or(rustix::fs::OFlags::empty());
        let set = rustix::fs::fcntl_setfl(std::io::stdout(), flags | rustix::fs::OFlags::NONBLOCK);
        if let Err(err) = set {
            eprintln!("carob-edge: standard output may block: {err}");
        }
    }
    let filter = EnvFilterBuilder::from_default_env_or("info").build();
    let append = StdoutAppend { vm: vm.to_owned(), ..StdoutAppend::default() };
    let builder = logforth::starter_log::builder();
    builder.dispatch(|d| d.filter(filter).append(append)).apply();
    std::panic::set_hook(Box::new(|panic| {
        log::error!(target: "main", error:% = panic; "A task panicked.");
    }));
}
