//! Spreads duties over the daemons without a store call.
//!
//! Every daemon computes the holder of a duty from the daemons that it hears,
//! by highest hash (rendezvous hashing). Two daemons may both think that they
//! hold one for a while; that costs a failed compare-and-swap and nothing else,
//! because each step of a duty is one compare-and-swap of the document that it
//! concerns.

use sha2::{Digest, Sha256};
use state::DaemonId;

/// The holder of `duty` among `daemons`.
pub(crate) fn holder<'a>(
    duty: &str,
    daemons: impl Iterator<Item = &'a DaemonId>,
) -> Option<&'a DaemonId> {
    daemons.max_by_key(|daemon| rank(duty, daemon))
}

fn rank(duty: &str, daemon: &DaemonId) -> [u8; 8] {
    let digest = Sha256::digest(format!("{duty}/{daemon}").as_bytes());
    digest[..8].try_into().expect("a digest has 32 bytes")
}

/// The shard of `key` among `shards`, the same on every daemon.
pub(crate) fn shard(key: &str, shards: u32) -> u32 {
    let digest = Sha256::digest(key.as_bytes());
    u32::from_be_bytes(digest[..4].try_into().expect("a digest has 32 bytes")) % shards
}
