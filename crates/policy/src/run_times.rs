//! Learns the ratio of measured to declared run times.
