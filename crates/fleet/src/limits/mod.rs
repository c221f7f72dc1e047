//! Plan limits and how entries share them.
