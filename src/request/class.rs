//! Classes of requests.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::time::Duration;

use crate::{Error, ErrorKind, Result};

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// The answer may be late.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Class; 2] = [Class::Interactive, Class::Batch];

    /// The target for the first token.
    pub fn first_token(self) -> Duration {
        match self {
            Class::Interactive => Duration::from_millis(1100),
            Class::Batch => Duration::from_secs(30),
        }
    }

    /// The longest time in the queue of an entry process.
    pub fn queue_time(self) -> Duration {
        match self {
            Class::Interactive => Duration::from_secs(5),
            Class::Batch => Duration::from_secs(20),
        }
    }

    /// The priority that upstreams get, larger first.
    pub fn priority(self) -> u8 {
        match self {
            Class::Interactive => 1,
            Class::Batch => 0,
        }
    }
}

impl Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        })
    }
}

impl FromStr for Class {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = Class::ALL.into_iter().find(|class| class.to_string() == text);
        found.ok_or_else(|| {
            let message = format!("class {text:?} must be \"interactive\" or \"batch\"");
            Error::new(ErrorKind::InvalidRequest, message)
        })
    }
}
