//! Reads the log lines of processes.

use serde_json::{Map, Value};

/// The fields of a log line.
pub type Line = Map<String, Value>;

/// Parses a log line, which may follow a prefix of another program; `None` when the text holds no
/// JSON object.
pub fn parse(text: &[u8]) -> Option<Line> {
    let start = text.iter().position(|byte| *byte == b'{')?;
    serde_json::from_slice(&text[start..]).ok()
}

/// Returns the text of a field; empty when the line has no such text.
pub fn text_field<'a>(line: &'a Line, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

/// Returns the whole number in a field; 0 when the line has no such number.
pub fn number_field(line: &Line, field: &str) -> u64 {
    line.get(field).and_then(Value::as_u64).unwrap_or_default()
}
