mod bench;
mod budget;
mod schedule;
mod shard;
