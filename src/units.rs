//! Newtypes for identifiers, sizes and rates.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};

use crate::{Error, ErrorKind, Result};

const MAX_NAME_BYTES: usize = 64;

fn invalid(message: String) -> Error {
    Error::new(ErrorKind::InvalidRequest, message)
}

fn check_name(what: &str, text: &str) -> Result<()> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(plain) {
        return Err(invalid(format!(
            "{what} {text:?} must be 1 to {MAX_NAME_BYTES} characters of a-z, A-Z, 0-9 or -_.:/"
        )));
    }
    Ok(())
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $what:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                check_name($what, text)?;
                Ok($name(text.to_owned()))
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a tenant.
    TenantName = "tenant";
    /// Name of a model or an adapter.
    ModelName = "model";
    /// Name of an upstream.
    UpstreamName = "upstream";
    /// Name of an entry vm.
    VmName = "vm";
    /// Name of a data centre.
    DataCentre = "data_centre";
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let bad = |_| invalid(format!("{} {text:?} is not a whole number", stringify!($name)));
                text.parse().map($name).map_err(bad)
            }
        }
    )*};
}

numbers! {
    /// Position of an entry in a stream of the platform log.
    Offset;
    /// Identifies one run of a process; a later run of the same process has a larger one.
    Incarnation;
    /// Number of model tokens.
    Tokens;
}

const MAX_VERSION_BYTES: usize = 64;

/// Number of the log's history. It rises when the log comes back from a copy that is older than what
/// it acknowledged: offsets and generations are then given out again. The default stands for a log
/// that tells none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogEra(pub u32);

impl FromStr for LogEra {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.parse().map_err(|_| {
            invalid(format!("{text:?} must be a whole number from 0 to {}", u32::MAX))
        })?;
        Ok(LogEra(number))
    }
}

impl Display for LogEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version of an upstream's software; the default stands for an upstream that names none. Versions
/// are only compared for equality.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > MAX_VERSION_BYTES || text.chars().any(char::is_control) {
            return Err(invalid(format!(
                "version {text:?} must be 1 to {MAX_VERSION_BYTES} bytes without control characters"
            )));
        }
        Ok(SoftwareVersion(text.to_owned()))
    }
}

/// Number of requests a second that an upstream takes; finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = Error;

    fn try_from(rate: f64) -> Result<Self> {
        let valid = rate.is_finite() && rate >= 0.0;
        valid
            .then_some(RequestRate(rate))
            .ok_or_else(|| invalid(format!("rate {rate} must be a decimal number, 0 or more")))
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let rate = text.trim().parse().ok().and_then(|rate: f64| RequestRate::try_from(rate).ok());
        rate.ok_or_else(|| invalid(format!("rate {text:?} must be a decimal number, 0 or more")))
    }
}

/// Number of requests that an upstream may have to reject in a second for want of room; with more it
/// falls over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RejectionLimit(u32);

impl RejectionLimit {
    /// Returns how many requests may be at risk at once: half, since a lost owner of the schedule may
    /// have let as many in; at least one, or nothing would be known of the upstream.
    pub fn safe_part(self) -> usize {
        (self.0 / 2).max(1) as usize
    }

    /// Reports whether a request may try whether there is more room than is known.
    pub fn allows_trial(self) -> bool {
        self.0 >= 2
    }
}

impl Display for RejectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RejectionLimit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        // Rounded down: a request beyond the whole part is one too many.
        number.map(|number| RejectionLimit(number as u32)).ok_or_else(|| {
            invalid(format!("rejections {text:?} must be a number a second, 0 or more"))
        })
    }
}

/// Longest time that a process takes from a message of another one.
const MAX_TOLD_TIME: Duration = Duration::from_secs(24 * 3600);

/// Decodes a time that another process tells; a longer one counts as a day, so that no sum of it and
/// the present is out of range.
///
/// # Errors
///
/// When the value is not a duration.
pub fn deserialize_told_time<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Duration, D::Error> {
    Duration::deserialize(deserializer).map(|time| time.min(MAX_TOLD_TIME))
}

/// Identifies a part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Returns the part with the id `id`, a hexadecimal number. An id that is none, or is too long,
    /// is replaced by its hash.
    pub fn from_id(id: &str) -> Self {
        let hash = |_| xxhash_rust::xxh3::xxh3_64(id.as_bytes());
        PromptPart(u64::from_str_radix(id, 16).unwrap_or_else(hash))
    }
}

impl Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Offset {
    /// First offset of a stream. A client of a log with another numbering converts its offsets.
    pub const FIRST: Offset = Offset(1);

    /// Returns the next offset.
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

/// Rate in tokens per second, written `1200/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenRate(pub u64);

impl Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix("/s").and_then(|n| n.parse().ok());
        number
            .map(TokenRate)
            .ok_or_else(|| invalid(format!("rate {text:?} must look like \"1200/s\"")))
    }
}

const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// Size in bytes, written in whole `MiB` or `GiB` where possible and otherwise in `B`.
///
/// ```
/// use carobglade::ByteSize;
/// let size: ByteSize = "14GiB".parse().unwrap();
/// assert_eq!(size.0, 14 << 30);
/// assert_eq!(size.to_string(), "14GiB");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

impl Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % GIB == 0 => write!(f, "{}GiB", n / GIB),
            n if n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let units = [("GiB", GIB), ("MiB", MIB), ("B", 1)];
        let parsed = units.iter().find_map(|(suffix, unit)| {
            text.strip_suffix(suffix)?.parse::<u64>().ok()?.checked_mul(*unit)
        });
        parsed
            .map(ByteSize)
            .ok_or_else(|| invalid(format!("size {text:?} must look like \"14GiB\"")))
    }
}

macro_rules! serde_as_text {
    ($($name:ident),*) => {$(
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

serde_as_text!(TokenRate, ByteSize);
