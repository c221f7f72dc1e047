//! The gate of a target: cold start, ramp, bound on work in flight.
