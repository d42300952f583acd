//! Counts the tokens of an answer while it passes.

const TAIL: usize = 512; // bytes kept of the end of the answer
const DATA: &[u8] = b"data:";
const DONE: &str = "[DONE]";
const FIELD: &str = "\"completion_tokens\":";

/// Tokens of an answer: as the upstream reports them, or one for each event.
#[derive(Debug, Default)]
pub struct Usage {
    events: u64,
    tail: Vec<u8>,
}

impl Usage {
    /// Takes the next bytes in.
    pub fn read(&mut self, chunk: &[u8]) {
        self.events += count(chunk, DATA);
        self.tail.extend_from_slice(chunk);
        let extra = self.tail.len().saturating_sub(TAIL);
        self.tail.drain(..extra);
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.tail);
        let reported = text.rfind(FIELD).and_then(|at| {
            let digits: String = text[at + FIELD.len()..]
                .trim_start()
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            digits.parse().ok()
        });
        reported.unwrap_or(self.events)
    }

    /// Whether the last event of a stream was seen.
    pub fn complete(&self) -> bool {
        String::from_utf8_lossy(&self.tail).trim_end().ends_with(DONE)
    }
}

fn count(text: &[u8], part: &[u8]) -> u64 {
    text.windows(part.len()).filter(|window| *window == part).count() as u64
}
