mod bench;
mod schedule;
mod shard;
