//! Counts the tokens of a response while it is forwarded.

/// Bytes kept from the end of the response.
const TAIL_BYTES: usize = 512;
const DATA_FIELD: &[u8] = b"data:";
const DONE_EVENT: &str = "[DONE]";
const TOKENS_FIELD: &str = "\"completion_tokens\":";

/// Counts the tokens of a response: the number that the upstream reports, or else one for each
/// event.
#[derive(Debug, Default)]
pub struct TokenCounter {
    events: u64,
    tail: Vec<u8>,
}

impl TokenCounter {
    /// Adds the next chunk of the response.
    pub fn add_chunk(&mut self, chunk: &[u8]) {
        self.events += count(chunk, DATA_FIELD);
        self.tail.extend_from_slice(chunk);
        let extra = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..extra);
    }

    /// Returns the number of tokens so far.
    pub fn tokens(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.tail);
        let reported = text.rfind(TOKENS_FIELD).and_then(|at| {
            let digits: String = text[at + TOKENS_FIELD.len()..]
                .trim_start()
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            digits.parse().ok()
        });
        reported.unwrap_or(self.events)
    }

    /// Reports whether the last event of a stream was seen.
    pub fn is_complete(&self) -> bool {
        String::from_utf8_lossy(&self.tail).trim_end().ends_with(DONE_EVENT)
    }
}

fn count(text: &[u8], part: &[u8]) -> u64 {
    text.windows(part.len()).filter(|window| *window == part).count() as u64
}
