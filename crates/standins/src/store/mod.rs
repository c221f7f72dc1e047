//! Key-value service with compare-and-swap, leases, watches and fault injection.

mod calls;
mod faults;
mod ids;
mod request;
mod rows;
mod standin;
mod world;

pub use standin::{StoreSettings, StoreStandin};
