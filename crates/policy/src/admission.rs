//! Decides whether a job is refused because a pool's backlog leaves it no time.
