//! Retry budgets, deadlines and shedding.
