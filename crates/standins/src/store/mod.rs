//! The key-value service: compare-and-swap, leases, watches and faults.

mod calls;
mod faults;
mod ids;
mod request;
mod rows;
mod standin;
mod world;

pub use standin::{StoreSettings, StoreStandin};
