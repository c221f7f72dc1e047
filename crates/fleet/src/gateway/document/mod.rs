//! Check of a configuration before it is sent, and what it changes.

mod change;
mod finding;
mod keys;
mod routes;
mod rows;

pub use change::{DocumentChange, compare_documents};
pub use finding::{ConfigFinding, FindingLevel, check_document};
pub use rows::{ConfigDocument, UnusableRow, WorkspaceKeys};
