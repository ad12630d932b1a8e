//! Assigns work to daemons by rendezvous hashing, without a store call.
//!
//! Among the daemons that a daemon has contact with, the one with the highest
//! hash is the assigned daemon. Two daemons may both
//! consider themselves assigned for a while. That costs a failed compare-and-swap
//! and has no other effect, because each step of an assignment is one
//! compare-and-swap of the document that the step concerns.

use sha2::{Digest, Sha256};
use state::DaemonId;

/// Daemon among `daemons` to which the work named `assignment` is assigned.
pub(crate) fn assigned_daemon<'a>(
    assignment: &str,
    daemons: impl Iterator<Item = &'a DaemonId>,
) -> Option<&'a DaemonId> {
    daemons.max_by_key(|daemon| rendezvous_hash(assignment, daemon))
}

/// First eight bytes of the SHA-256 digest of an assignment's name, `assignment_name`, and a
/// daemon's id.
fn rendezvous_hash(assignment_name: &str, daemon: &DaemonId) -> [u8; 8] {
    let digest = Sha256::digest(format!("{assignment_name}/{daemon}").as_bytes());
    digest[..8].try_into().expect("a SHA-256 digest has 32 bytes")
}

/// Index below `shards` of the shard that stores `key`, equal on every daemon.
pub(crate) fn shard_of_key(key: &str, shards: u32) -> u32 {
    let digest = Sha256::digest(key.as_bytes());
    u32::from_be_bytes(digest[..4].try_into().expect("a SHA-256 digest has 32 bytes")) % shards
}
