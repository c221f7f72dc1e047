//! Tests of the agreement on one expert map per step.

mod choice;
mod engine_fake;
mod interleavings;
mod rows;
mod scheduler;
mod store_fake;
