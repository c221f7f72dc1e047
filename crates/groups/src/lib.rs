//! Rank group decisions: agreement on one expert map per step, placement and engine orders.
//!
//! Everything here is a plain function, a row type or a system over tables. Time comes in as an
//! argument and nothing is sent or received: what has to be done is returned as effects.

pub mod agreement;
pub mod levels;
pub mod measure;
pub mod orders;
pub mod placement;
