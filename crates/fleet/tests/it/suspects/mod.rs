//! Detection and isolation of poison requests.

mod isolation;
mod merge;
mod spread;
