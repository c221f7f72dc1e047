//! Retries, their budget, and what is shed.

mod decisions;
mod shedding;
