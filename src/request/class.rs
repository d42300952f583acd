//! Priority classes of requests.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::time::Duration;

use crate::{Error, ErrorKind, Result};

/// Priority class of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestClass {
    /// A user waits for the response.
    #[default]
    Interactive,
    /// The response may be delayed.
    Batch,
}

impl RequestClass {
    /// All classes, the most urgent first.
    pub const ALL: [RequestClass; 2] = [RequestClass::Interactive, RequestClass::Batch];

    /// Returns the target time to the first token.
    pub fn first_token_goal(self) -> Duration {
        match self {
            RequestClass::Interactive => Duration::from_millis(1100),
            RequestClass::Batch => Duration::from_secs(30),
        }
    }

    /// Returns the longest time that a request may wait in the queue of an entry process.
    pub fn max_queue_time(self) -> Duration {
        match self {
            RequestClass::Interactive => Duration::from_secs(5),
            RequestClass::Batch => Duration::from_secs(20),
        }
    }

    /// Returns the priority sent to upstreams; they serve larger values first.
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
