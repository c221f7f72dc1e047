//! Tests of gateways between test callers and stand-ins of the platform.

mod answers;
mod bounds;
mod broken_heads;
mod cold;
mod demand;
mod descriptors;
mod endless;
mod env;
mod feeds;
mod fleet;
mod groups;
mod held_bytes;
mod keys;
mod late_heads;
mod leaving;
mod odd_statuses;
mod odd_targets;
mod quarantine;
mod quarantined_requests;
mod queue;
mod repeats;
mod silent_streams;
mod slow_readers;
mod stops;
mod streams;
mod unreached;
