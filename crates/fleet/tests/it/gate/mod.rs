mod latency;
mod queue;
mod schedule;
mod slots;
