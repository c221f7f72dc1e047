//! Rank group decisions: agreement on one expert map per step, placement and engine orders.
