//! The hash function behind buckets, rankings, and member and service tags.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// SipHash keys. All processes must use the same ones, so they are fixed and not secret.
const PLACEMENT_KEYS: (u64, u64) = (0x666c_616d_696e_676f, 0x6f66_616c_6c00_0001);

/// Returns the hash of `bytes`, which is the same in all processes.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(PLACEMENT_KEYS.0, PLACEMENT_KEYS.1);
    hasher.write(bytes);
    hasher.finish()
}
