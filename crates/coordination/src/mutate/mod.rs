//! The one place where each document changes. Every function applies a change
//! that may be applied again without harm, and decides on the document that it
//! is given and nothing else.

pub mod claim;
pub mod config;
pub mod fleet;
pub mod member;
pub mod slot;
pub mod team;
