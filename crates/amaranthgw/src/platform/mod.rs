//! Clients of the platform: the key-value service and the VM list.

mod error;
mod http;
mod store;
mod vms;

pub use error::PlatformError;
pub use http::HttpCaller;
pub use store::{HttpStore, StoreClient, StoreValue, SwapAnswer};
pub use vms::{HttpVmList, VmListClient};

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;
