//! Digests of requests and stable hashes of names. Their values are stored and
//! travel between processes: they never change.

use sha2::{Digest, Sha256};

/// Hex digest (128 bits of SHA-256) that ties a dispatch to the exact bytes of
/// its request.
pub fn digest(bytes: &[u8]) -> String {
    digest_bytes(bytes).iter().map(|b| format!("{b:02x}")).collect()
}

/// The same digest as bytes.
pub fn digest_bytes(bytes: &[u8]) -> [u8; 16] {
    let sum = Sha256::digest(bytes);
    let mut out = [0; 16];
    out.copy_from_slice(&sum[..16]);
    out
}

/// A hash of a name that is the same in every process and every version.
pub fn hash(name: &str) -> u64 {
    let sum = Sha256::digest(name.as_bytes());
    let mut raw = [0u8; 8];
    raw.copy_from_slice(&sum[..8]);
    u64::from_le_bytes(raw)
}

/// A cheap stable hash of two numbers, for rendezvous ranks on the hot path.
pub fn pair(a: u64, b: u64) -> u64 {
    crate::random::mix(a ^ crate::random::mix(b))
}
