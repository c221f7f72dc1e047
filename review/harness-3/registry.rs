//! Registry entries, as servers write them to the store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Client;
use crate::store::Store;

/// Interval between the heartbeats of a server.
pub const BEAT: Duration = Duration::from_millis(1_200);
/// Time from the last heartbeat of a server until its entry is removed.
pub const LAPSE: Duration = Duration::from_millis(3_600);

/// Key of the entry of the server `id`.
pub fn key(id: &str) -> String {
    format!("servers/{id}")
}

/// What a server tells of itself.
pub struct Entry<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub slots: u32,
    pub cold_left: Duration,
    /// Unix milliseconds of its start.
    pub born: u64,
    pub seq: u64,
}

impl Entry<'_> {
    /// The entry of a server that is ready.
    pub fn ready(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":{},\"born\":{},\"seq\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.cold_left.as_millis(),
            self.born,
            self.seq
        )
    }
}

/// Removes `key` from the store, as the server or the platform does.
pub fn remove(store: &Store, key: &str) {
    let body = format!("{{\"expect\":[],\"puts\":[],\"deletes\":[\"{key}\"]}}");
    let length = body.len();
    let request = format!("POST /kv-txn HTTP/1.1\r\nHost: store\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut client = Client::new(store.address, Duration::from_secs(1));
    client.call(request.as_bytes()).ok();
}

/// The time of day in Unix milliseconds.
pub fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}
