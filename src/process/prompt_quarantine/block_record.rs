//! Verdicts as the log keeps them, for processes that start when no other one runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::Suspect;
use super::verdicts::PromptVerdict;
use crate::{Error, ErrorKind, Result};

/// Start of the key of a record. It begins with a character that no name of a vm has.
const KEY_PREFIX: &str = "!block:";

/// A verdict with the time at which its block ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// The suspect.
    pub suspect: Suspect,
    /// Generation of the verdict.
    pub generation: u32,
    /// How often in a row the suspect was blocked; 0 once it is lifted.
    pub strikes: u32,
    /// End of the block, in Unix milliseconds.
    pub until_ms: u64,
}

impl BlockRecord {
    /// Creates the record of a verdict at the time `unix_ms`.
    pub fn new(verdict: &PromptVerdict, unix_ms: u64) -> Self {
        BlockRecord {
            suspect: verdict.suspect.clone(),
            generation: verdict.generation,
            strikes: verdict.strikes,
            until_ms: unix_ms + verdict.remaining.as_millis() as u64,
        }
    }

    /// Returns the verdict at the time `unix_ms`.
    pub fn verdict(&self, unix_ms: u64) -> PromptVerdict {
        PromptVerdict {
            suspect: self.suspect.clone(),
            generation: self.generation,
            strikes: self.strikes,
            remaining: Duration::from_millis(self.until_ms.saturating_sub(unix_ms)),
        }
    }

    /// Returns the record that lifts the block.
    pub fn lifted(&self) -> Self {
        BlockRecord {
            generation: self.generation.saturating_add(1),
            strikes: 0,
            until_ms: 0,
            ..self.clone()
        }
    }

    /// Returns the key of the record.
    pub fn key(&self) -> String {
        let model = self.suspect.model.as_ref().map(|model| format!(":{model}"));
        format!("{KEY_PREFIX}{}{}", self.suspect.part, model.unwrap_or_default())
    }

    /// Reports whether a record with the key `key` is one of these.
    pub fn is_key(key: &str) -> bool {
        key.starts_with(KEY_PREFIX)
    }

    /// Encodes the record without its key.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes the value of a record.
    ///
    /// # Errors
    ///
    /// Returns `InvalidRequest` when the value is no record.
    pub fn decode(value: &[u8]) -> Result<Self> {
        let invalid = |err: serde_json::Error| {
            Error::new(ErrorKind::InvalidRequest, format!("block record: {err}"))
        };
        serde_json::from_slice(value).map_err(invalid)
    }
}
