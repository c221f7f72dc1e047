//! The operators' two lists: customers with their plans, and what each plan may use.

mod error;
mod parse;
mod rows;

pub use error::ListError;
pub use rows::{CUSTOMER_RULES, OperatorLists, PLAN_RULES};

/// Result of reading the lists.
pub type Result<T> = std::result::Result<T, ListError>;
