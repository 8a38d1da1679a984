//! The hash by which flows, members and services are placed.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Keys of the placement hash. All processes must use the same keys, so they are not secret.
const PLACEMENT_KEYS: (u64, u64) = (0x666c_616d_696e_676f, 0x6f66_616c_6c00_0001);

/// Hashes bytes with the placement keys.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(PLACEMENT_KEYS.0, PLACEMENT_KEYS.1);
    hasher.write(bytes);
    hasher.finish()
}
