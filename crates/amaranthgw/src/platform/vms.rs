//! The client of the platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_fleet::membership::VmRecord;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};
use serde::Deserialize;

use super::{HttpClient, Result, ServiceError};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the VM list.
pub trait VmListClient: std::fmt::Debug + Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>>>;
}

/// A [`VmListClient`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
}

#[derive(Deserialize)]
struct VmListResponse {
    vms: Vec<VmRecord>,
}

impl HttpVmList {
    /// Creates a client of the list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
        }
    }

    async fn read(&self) -> Result<Vec<VmRecord>> {
        let call = self
            .client
            .call(Method::GET, "/v1/vms", Bytes::new(), CALL_TIMEOUT);
        let response = call.await?;
        if response.status() != StatusCode::OK {
            return Err(ServiceError::Rejected {
                status: response.status().as_u16(),
            });
        }
        let decoded = serde_json::from_slice::<VmListResponse>(response.body());
        decoded
            .map(|decoded| decoded.vms)
            .map_err(|_malformed| ServiceError::Malformed)
    }
}

impl VmListClient for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>>> {
        Box::pin(self.read())
    }
}
