//! Digests of callers' API keys.

use std::fmt::{self, Display};
use std::str::FromStr;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Config, Error, ErrorKind, Result, TenantName};

const PREFIX: &str = "sha256:";
const BUCKETS: usize = 1 << 16; // buckets of an index

/// SHA-256 digest of an API key.
///
/// ```
/// use carobglade::KeyDigest;
/// let digest = KeyDigest::of("secret");
/// assert_eq!(digest, digest.to_string().parse().unwrap());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    fn bucket(&self) -> usize {
        usize::from(u16::from_be_bytes([self.0[0], self.0[1]])) % BUCKETS
    }
}

impl Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || {
            let message =
                format!("key digest {text:?} must be \"{PREFIX}\" and 64 digits of 0-9a-f");
            Error::new(ErrorKind::InvalidRequest, message)
        };
        let digits = text.strip_prefix(PREFIX).filter(|d| d.len() == 64 && d.is_ascii());
        let digits = digits.ok_or_else(bad)?;
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let pair = &digits[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| bad())?;
        }
        Ok(KeyDigest(bytes))
    }
}

/// Index from API keys to tenants; the comparison of digests takes constant time.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    sorted: Vec<(usize, KeyDigest, TenantName)>,
}

impl KeyIndex {
    /// Creates the index of all keys of `config`.
    pub fn new(config: &Config) -> Self {
        let tenants = config.tenants.values();
        let mut sorted: Vec<_> = tenants
            .flat_map(|tenant| {
                tenant.keys.iter().map(|key| (key.bucket(), *key, tenant.name.clone()))
            })
            .collect();
        sorted.sort();
        KeyIndex { sorted }
    }

    /// Returns the tenant that owns `key`.
    pub fn tenant(&self, key: &str) -> Option<&TenantName> {
        let digest = KeyDigest::of(key);
        let start = self.sorted.partition_point(|(bucket, _, _)| *bucket < digest.bucket());
        let candidates = self.sorted[start..].iter();
        let candidates = candidates.take_while(|(bucket, _, _)| *bucket == digest.bucket());
        let mut found = None;
        for (_, known, tenant) in candidates {
            if bool::from(known.0.ct_eq(&digest.0)) {
                found = Some(tenant);
            }
        }
        found
    }
}
