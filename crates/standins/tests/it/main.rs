//! Tests of the stand-ins: every documented call, with its faults.

mod client;
mod engine;
mod plain;
mod store;
mod vms;
