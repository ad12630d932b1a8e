//! Judges each VM of a pool by its own runs against those of its peers.
