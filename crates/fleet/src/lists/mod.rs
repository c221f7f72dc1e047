//! The operators' two lists.
