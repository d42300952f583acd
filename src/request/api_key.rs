//! Extracts callers' API keys and removes them from forwarded requests.

use crate::{Error, ErrorKind, Result};

/// Headers that may carry an API key.
pub(crate) const API_KEY_HEADERS: [&str; 3] = ["authorization", "x-api-key", "api-key"];

const API_KEY_PARAMS: [&str; 2] = ["api_key", "key"];

const BEARER_PREFIX: &str = "bearer ";

/// Returns the API key from headers given as pairs of lower-case name and value.
///
/// # Errors
///
/// `Unauthenticated` without a key, `InvalidRequest` when two different keys are given.
pub fn extract_api_key<'a>(headers: impl Iterator<Item = (&'a str, &'a str)>) -> Result<String> {
    let mut found: Option<String> = None;
    for (_, value) in headers.filter(|(name, _)| API_KEY_HEADERS.contains(name)) {
        let bearer =
            value.get(..BEARER_PREFIX.len()).is_some_and(|b| b.eq_ignore_ascii_case(BEARER_PREFIX));
        let key = if bearer { &value[BEARER_PREFIX.len()..] } else { value };
        if found.as_ref().is_some_and(|known| known != key.trim()) {
            return Err(Error::new(ErrorKind::InvalidRequest, "two different keys were given"));
        }
        found = Some(key.trim().to_owned());
    }
    found.filter(|key| !key.is_empty()).ok_or_else(|| {
        Error::new(ErrorKind::Unauthenticated, "no key: send \"Authorization: Bearer KEY\"")
    })
}

/// Reports whether the header with this lower-case name carries credentials and must not reach an
/// upstream.
pub fn is_credential_header(name: &str) -> bool {
    API_KEY_HEADERS.contains(&name) || name == "proxy-authorization" || name == "cookie"
}

/// Returns the query without the parameters that can carry an API key and without those that
/// contain `key`. Headers are checked with [`is_credential_header`].
pub fn strip_query_keys(query: &str, key: Option<&str>) -> String {
    let kept = query.split('&').filter(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        let secret = key.is_some_and(|key| pair.contains(key));
        !pair.is_empty() && !API_KEY_PARAMS.contains(&name) && !secret
    });
    kept.collect::<Vec<_>>().join("&")
}
