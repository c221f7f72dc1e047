//! Integration tests of the decisions for rank groups.

mod agreement;
mod orders;
mod placement;
mod rebalance;
