//! Digests of requests and stable hashes of names. Their values are stored and sent between
//! processes, so the functions must never change.

use sha2::{Digest, Sha256};

/// Returns a hex digest (128 bits of SHA-256), which ties an attempt to the exact bytes of its
/// request.
pub fn digest(bytes: &[u8]) -> String {
    digest_bytes(bytes).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the digest as bytes.
pub fn digest_bytes(bytes: &[u8]) -> [u8; 16] {
    let sum = Sha256::digest(bytes);
    let mut out = [0; 16];
    out.copy_from_slice(&sum[..16]);
    out
}

/// Returns a hash of a name that is the same in every process and every version.
pub fn hash(name: &str) -> u64 {
    let sum = Sha256::digest(name.as_bytes());
    let mut raw = [0u8; 8];
    raw.copy_from_slice(&sum[..8]);
    u64::from_le_bytes(raw)
}

/// Returns a cheap, stable hash of two numbers, for rendezvous hashing on the hot path.
pub fn hash_pair(a: u64, b: u64) -> u64 {
    crate::random::mix(a ^ crate::random::mix(b))
}
