//! Retry decisions, retry budgets and load shedding.

mod decisions;
mod shedding;
