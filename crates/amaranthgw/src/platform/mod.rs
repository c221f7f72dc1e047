//! Clients of the platform's services: the key-value service and the VM list.

mod claim_store;
mod config_store;
mod error;
mod http;
mod share_store;
mod store;
mod vms;

pub use claim_store::perform_claim_call;
pub use config_store::perform_config_call;
pub use error::ServiceError;
pub use http::HttpClient;
pub use share_store::{read_shares, write_shares};
pub use store::{HttpStore, StoreClient, StoreValue, SwapAnswer};
pub use vms::{HttpVmList, VmListClient};

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, ServiceError>;
