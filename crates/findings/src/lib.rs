//! Results of a configuration check, and the inputs that all kinds of files share.
//!
//! The crate has no check of its own: the checks of the product's files are in the crate `check`,
//! those of the platform's files in `platform`, which alone knows the platform's names
//! (`docs/design/check.md`).

mod difference;
mod finding;
mod inventory;
mod source;

pub use difference::{Difference, DifferenceList};
pub use finding::{Finding, FindingList, Severity};
pub use inventory::{InventoryVm, VmInventory};
pub use source::SourceFile;
