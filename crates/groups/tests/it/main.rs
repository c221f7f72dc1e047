//! Integration tests of the decisions for rank groups.

mod agreement;
mod levels;
mod orders;
mod placement;
