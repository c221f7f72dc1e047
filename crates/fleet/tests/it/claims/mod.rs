mod batcher;
mod budget;
mod harness;
mod schedule;
