//! Parsing and validation of the operators' two lists: customers with their plans, and plans with
//! their limits.

mod error;
mod parse;
mod rows;

pub use error::ListError;
pub use rows::{CUSTOMER_RULES, OperatorLists, PLAN_RULES};

/// Result of parsing the lists.
pub type Result<T> = std::result::Result<T, ListError>;
