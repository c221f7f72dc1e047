//! Decisions for rank groups: agreement on one expert map per step, expert placement, rebalancing
//! and engine orders.
//!
//! The crate consists of plain functions, row types and systems over tables. It sends and receives
//! nothing: time is an argument, and the actions to take are returned as effects.

pub mod agreement;
pub mod measure;
pub mod orders;
pub mod placement;
pub mod rebalance;
