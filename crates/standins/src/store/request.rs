//! Parsing of the key-value service's calls from HTTP requests.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, StoreRevision};
use serde::Deserialize;

use super::ids::{LeaseId, StoreKey};
use crate::http::{Call, CallError, parse_segment};

/// Upper bound of a watch's `wait_ms`.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(10);

/// Result of parsing a call.
type Result<T> = std::result::Result<T, CallError>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseBody {
    #[serde(rename = "ttl_ms", with = "crate::units::millis")]
    ttl: MilliSpan,
}

/// A parsed call of the service.
#[derive(Debug)]
pub(super) enum StoreCall {
    Get(StoreKey),
    /// Key, expected revision (0: absent) and lease.
    Put(StoreKey, StoreRevision, Option<LeaseId>),
    /// Key and expected revision.
    Delete(StoreKey, StoreRevision),
    /// Key, last seen revision (0: absent) and longest wait.
    Watch(StoreKey, StoreRevision, Duration),
    /// TTL of the new lease.
    Grant(Duration),
    Renew(LeaseId),
    EndLease(LeaseId),
    Unknown,
}

impl StoreCall {
    /// Parses the call; unknown paths give [`StoreCall::Unknown`].
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
                Self::Watch(
                    StoreKey::with_segments(key),
                    after,
                    wait.min(MAX_WATCH_WAIT),
                )
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
