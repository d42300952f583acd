//! Classes of requests.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::time::Duration;

use crate::{Error, ErrorKind, Result};

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestClass {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// The answer may be late.
    Batch,
}

impl RequestClass {
    /// All classes, the most urgent first.
    pub const ALL: [RequestClass; 2] = [RequestClass::Interactive, RequestClass::Batch];

    /// The target for the first token.
    pub fn first_token_goal(self) -> Duration {
        match self {
            RequestClass::Interactive => Duration::from_millis(1100),
            RequestClass::Batch => Duration::from_secs(30),
        }
    }

    /// The longest time in the queue of an entry process.
    pub fn max_queue_time(self) -> Duration {
        match self {
            RequestClass::Interactive => Duration::from_secs(5),
            RequestClass::Batch => Duration::from_secs(20),
        }
    }

    /// The priority that upstreams get, larger first.
    pub fn priority(self) -> u8 {
        match self {
            RequestClass::Interactive => 1,
            RequestClass::Batch => 0,
        }
    }
}

impl Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestClass::Interactive => "interactive",
            RequestClass::Batch => "batch",
        })
    }
}

impl FromStr for RequestClass {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = RequestClass::ALL.into_iter().find(|class| class.to_string() == text);
        found.ok_or_else(|| {
            let message = format!("class {text:?} must be \"interactive\" or \"batch\"");
            Error::new(ErrorKind::InvalidRequest, message)
        })
    }
}
