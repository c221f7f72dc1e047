//! The calls of the key-value service, as read from their requests.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, StoreRevision};
use serde::Deserialize;

use super::ids::{LeaseId, StoreKey};
use crate::http::{Call, CallError, parse_segment};

/// Largest time that a watch waits.
const MAX_WATCH: Duration = Duration::from_mins(10);

/// Result of a call that may be malformed.
type Result<T> = std::result::Result<T, CallError>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseBody {
    #[serde(rename = "ttl_ms", with = "crate::units::millis")]
    ttl: MilliSpan,
}

/// A call of the service, read from its request.
#[derive(Debug)]
pub(super) enum StoreCall {
    Get(StoreKey),
    Put(StoreKey, StoreRevision, Option<LeaseId>),
    Delete(StoreKey, StoreRevision),
    Watch(StoreKey, StoreRevision, Duration),
    Grant(Duration),
    Renew(LeaseId),
    EndLease(LeaseId),
    Unknown,
}

impl StoreCall {
    /// Reads the call from its request.
    pub(super) fn read(call: &Call) -> Result<Self> {
        Ok(match (call.method(), call.segments().as_slice()) {
            ("GET", ["v1", "values", key @ ..]) => Self::Get(StoreKey::with_segments(key)),
            ("PUT", ["v1", "values", key @ ..]) => {
                let lease = call.query("lease")?;
                Self::Put(
                    StoreKey::with_segments(key),
                    call.required_query("expect")?,
                    lease,
                )
            }
            ("DELETE", ["v1", "values", key @ ..]) => {
                Self::Delete(StoreKey::with_segments(key), call.required_query("expect")?)
            }
            ("GET", ["v1", "watch", key @ ..]) => {
                let wait = Duration::from_millis(call.required_query("wait_ms")?);
                let after = call.required_query("after")?;
                Self::Watch(StoreKey::with_segments(key), after, wait.min(MAX_WATCH))
            }
            ("POST", ["v1", "leases"]) => Self::Grant(call.json::<LeaseBody>()?.ttl.duration()),
            ("POST", ["v1", "leases", lease, "renew"]) => {
                Self::Renew(parse_segment(lease, "lease")?)
            }
            ("DELETE", ["v1", "leases", lease]) => Self::EndLease(parse_segment(lease, "lease")?),
            _ => Self::Unknown,
        })
    }
}
