//! Defines all changes of the stored documents, with one module for each kind of
//! document.
//!
//! Every `apply` function is idempotent and decides only on the document and the
//! change that it is given.

pub mod claim;
pub mod config;
pub mod fleet;
pub mod member;
pub mod slot;
pub mod team;
