mod budget;
mod harness;
mod schedule;
mod shard;
