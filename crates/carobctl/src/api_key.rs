//! API keys of callers.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use carobglade::KeyDigest;
use eyre::Result;
use rand::RngCore;
use zeroize::Zeroizing;

use crate::CommandOutcome;

const KEY_BYTES: usize = 24;

/// Generates a key and prints it with the digest for the configuration. The key is stored nowhere.
pub fn generate() -> Result<CommandOutcome> {
    let mut bytes = Zeroizing::new([0u8; KEY_BYTES]);
    rand::rng().fill_bytes(bytes.as_mut());
    let key = Zeroizing::new(format!("ck-{}", URL_SAFE_NO_PAD.encode(bytes.as_ref())));
    println!("key     {}", key.as_str());
    println!("digest  {}", KeyDigest::of(&key));
    Ok(CommandOutcome::Done)
}
