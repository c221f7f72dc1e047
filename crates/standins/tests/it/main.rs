//! Tests of the stand-ins: every documented call, including injected faults.

mod client;
mod engine;
mod group;
mod kind;
mod plain;
mod proxy;
mod reserved;
mod site;
mod store;
mod vms;
mod weights;
