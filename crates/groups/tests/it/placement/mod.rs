//! Tests of expert placement and straggler detection.

mod layers;
mod policies;
mod stragglers;
