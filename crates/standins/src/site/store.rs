//! The platform's metadata store: revisioned keys, leases, transactions and prefix watches.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use http::{HeaderName, HeaderValue, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::error::Result;
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, ReplyResult,
    bind, empty_reply, json_reply, serve,
};
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};

/// Header of all answers: number of returns from a copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Poll interval of a waiting watch.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault that the store injects into its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Answers normally.
    #[default]
    None,
    /// Rejects every call with status 503.
    Busy,
    /// Closes connections without answering or applying the call.
    Silent,
    /// Applies POST calls but closes the connection instead of answering them.
    LosesAnswers,
}

/// Fault of one listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingFault {
    /// Gets no answer; the connection stays open.
    Unanswered,
    /// Is rejected with status 503.
    Busy,
}

#[derive(Clone, Debug)]
struct ItemRow {
    value: Vec<u8>,
    revision: u64,
    /// Lease that the key is attached to; 0: none.
    lease: u64,
}

#[derive(Clone, Debug)]
struct ChangeRow {
    revision: u64,
    key: CompactString,
    item: Option<ItemRow>,
}

#[derive(Debug, Default)]
struct SiteWorld {
    revision: u64,
    items: BTreeMap<CompactString, ItemRow>,
    history: Vec<ChangeRow>,
    /// Revision up to which the history was compacted.
    compacted_revision: u64,
    /// Expiry time and TTL of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    fault: StoreFault,
    calls: u64,
    /// Listings answered so far, by prefix.
    listings: HashMap<CompactString, u64>,
    /// Most items of one page of a listing; 0 for any number.
    page_size: usize,
    /// Faults of the next listings, by prefix.
    listing_faults: HashMap<CompactString, VecDeque<ListingFault>>,
    /// Number of the next writes to reject, by key.
    rejected_writes: HashMap<CompactString, u32>,
    /// Number of returns from a copy.
    era: u64,
}

/// Copy of a store, from which it may come back.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<CompactString, ItemRow>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Stand-in for the platform's metadata store.
#[derive(Clone, Debug, Default)]
pub struct SiteStore {
    world: Arc<Mutex<SiteWorld>>,
}

impl SiteStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes `value` as JSON under `key`, without a lease.
    pub fn put(&self, key: &str, value: &Value) {
        lock(&self.world).put(key.into(), value.to_string().into_bytes(), 0);
    }

    /// Writes raw bytes, which need not be JSON, under `key`.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        lock(&self.world).put(key.into(), value.to_vec(), 0);
    }

    /// Removes `key`, which watches see as a tombstone.
    pub fn remove(&self, key: &str) {
        lock(&self.world).remove(&key.into());
    }

    /// Sets the fault injected into later calls.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.world).fault = fault;
    }

    /// Sets the largest number of items of one page of a listing; 0 for any number.
    pub fn set_page_size(&self, items: usize) {
        lock(&self.world).page_size = items;
    }

    /// Sets the faults of the next listings of `prefix`, one for each.
    pub fn fail_listings(&self, prefix: &str, faults: impl IntoIterator<Item = ListingFault>) {
        let faults = faults.into_iter().collect();
        lock(&self.world)
            .listing_faults
            .insert(prefix.into(), faults);
    }

    /// Rejects the next `count` writes of `key` with status 503.
    pub fn reject_writes(&self, key: &str, count: u32) {
        lock(&self.world).rejected_writes.insert(key.into(), count);
    }

    /// Number of answered listings of `prefix`.
    #[must_use]
    pub fn listings(&self, prefix: &str) -> u64 {
        let world = lock(&self.world);
        world.listings.get(prefix).copied().unwrap_or_default()
    }

    /// Drops all history, so that watches from earlier revisions get status 410.
    pub fn compact(&self) {
        let mut world = lock(&self.world);
        world.compacted_revision = world.revision;
        world.history.clear();
    }

    /// Copies the store as it is.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let world = lock(&self.world);
        StoreCopy {
            revision: world.revision,
            items: world.items.clone(),
            leases: world.leases.clone(),
            next_lease: world.next_lease,
        }
    }

    /// Comes back from `copy`: what was written since is lost, revisions are given out again, and watches from
    /// later revisions get status 410.
    pub fn return_from(&self, copy: StoreCopy) {
        let mut world = lock(&self.world);
        world.revision = copy.revision;
        world.items = copy.items;
        world.leases = copy.leases;
        world.next_lease = copy.next_lease;
        world.history.retain(|row| row.revision <= copy.revision);
        world.era += 1;
    }

    /// Number of calls received so far, including failed ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        lock(&self.world).calls
    }

    /// The current value under `key`, unless its lease has expired.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let mut world = lock(&self.world);
        world.expire();
        world.items.get(key).map(|item| item.value.clone())
    }

    async fn answer(&self, call: &Call) -> ReplyResult {
        let fault = {
            let mut world = lock(&self.world);
            world.calls += 1;
            world.expire();
            world.fault
        };
        match fault {
            StoreFault::Busy => return Ok(empty_reply(StatusCode::SERVICE_UNAVAILABLE)),
            StoreFault::Silent => return Err(NoAnswer),
            StoreFault::None | StoreFault::LosesAnswers => {}
        }
        if call.segments().as_slice() == ["kv-watch"] {
            return Ok(self.watch(call).await.unwrap_or_else(|error| error.reply()));
        }
        let listing_fault = lock(&self.world).take_listing_fault(call);
        match listing_fault {
            Some(ListingFault::Unanswered) => std::future::pending::<()>().await,
            Some(ListingFault::Busy) => return Ok(empty_reply(StatusCode::SERVICE_UNAVAILABLE)),
            None => {}
        }
        let reply = lock(&self.world).answer(call);
        if call.method() == "POST" && fault == StoreFault::LosesAnswers {
            return Err(NoAnswer);
        }
        Ok(reply.unwrap_or_else(|error| error.reply()))
    }

    async fn watch(&self, call: &Call) -> std::result::Result<Reply, CallError> {
        let prefix: CompactString = call.required_query("prefix")?;
        let after: u64 = call.required_query("after")?;
        let wait: u64 = call.required_query("wait_ms")?;
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            let changes = lock(&self.world).changes(&prefix, after);
            match changes {
                None => return Ok(empty_reply(StatusCode::GONE)),
                Some((events, as_of)) if !events.is_empty() || Instant::now() >= deadline => {
                    let body = json!({ "events": events, "as_of": as_of });
                    return Ok(json_reply(StatusCode::OK, &body));
                }
                Some(_) => sleep(WATCH_POLL_INTERVAL).await,
            }
        }
    }
}

impl Standin for SiteStore {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let handler = Arc::new(SiteStoreHandler {
            store: self.clone(),
        });
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(serve(listener, handler, ConnectionCloser::new())))
    }
}

#[derive(Debug)]
struct SiteStoreHandler {
    store: SiteStore,
}

impl CallHandler for SiteStoreHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(async move {
            let mut reply = self.store.answer(&call).await?;
            let era = HeaderValue::from(lock(&self.store.world).era);
            reply.headers_mut().insert(STORE_ERA, era);
            Ok(reply)
        })
    }
}

#[derive(Deserialize)]
struct TxnBody {
    #[serde(default)]
    expect: Vec<ExpectRow>,
    #[serde(default)]
    puts: Vec<PutRow>,
    #[serde(default)]
    deletes: Vec<CompactString>,
}

#[derive(Deserialize)]
struct ExpectRow {
    key: CompactString,
    rev: u64,
}

#[derive(Deserialize)]
struct PutRow {
    key: CompactString,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    ttl_ms: u64,
}

impl SiteWorld {
    /// The fault of `call` if it is a listing that has one.
    fn take_listing_fault(&mut self, call: &Call) -> Option<ListingFault> {
        if call.segments().as_slice() != ["kv-range"] {
            return None;
        }
        let prefix = call.required_query::<CompactString>("prefix").ok()?;
        self.listing_faults.get_mut(&prefix)?.pop_front()
    }

    fn answer(&mut self, call: &Call) -> std::result::Result<Reply, CallError> {
        let as_of = self.revision;
        Ok(match (call.method(), call.segments().as_slice()) {
            ("GET", ["kv-key"]) => {
                let key: CompactString = call.required_query("key")?;
                match self.items.get(&key) {
                    Some(item) => json_reply(StatusCode::OK, &item_json(&key, item)),
                    None => empty_reply(StatusCode::NOT_FOUND),
                }
            }
            ("GET", ["kv-range"]) => {
                let prefix: CompactString = call.required_query("prefix")?;
                let after: CompactString = call.query("after")?.unwrap_or_default();
                let after = percent_decode_str(&after).decode_utf8_lossy();
                let mut rows: Vec<_> = self
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&*prefix) && key.as_str() > after.as_ref())
                    .collect();
                let has_more = self.page_size > 0 && rows.len() > self.page_size;
                if has_more {
                    rows.truncate(self.page_size);
                }
                let rows = rows.into_iter();
                let entries: Vec<_> = rows.map(|(key, item)| item_json(key, item)).collect();
                *self.listings.entry(prefix).or_default() += 1;
                let body = json!({ "entries": entries, "has_more": has_more, "as_of": as_of });
                json_reply(StatusCode::OK, &body)
            }
            ("POST", ["kv-lease"]) => {
                let ttl = Duration::from_millis(call.json::<LeaseBody>()?.ttl_ms);
                self.next_lease += 1;
                self.leases
                    .insert(self.next_lease, (Instant::now() + ttl, ttl));
                lease_reply(self.next_lease, ttl)
            }
            ("POST", ["kv-keep", lease]) => {
                let lease = lease.parse().unwrap_or_default();
                match self.leases.get_mut(&lease) {
                    Some((expires_at, ttl)) => {
                        *expires_at = Instant::now() + *ttl;
                        lease_reply(lease, *ttl)
                    }
                    None => empty_reply(StatusCode::NOT_FOUND),
                }
            }
            ("DELETE", ["kv-lease-end", lease]) => {
                self.end_lease(lease.parse().unwrap_or_default());
                empty_reply(StatusCode::OK)
            }
            ("POST", ["kv-txn"]) => self.commit(call.json()?),
            _ => empty_reply(StatusCode::NOT_FOUND),
        })
    }

    /// Whether this write of `key` is to be rejected.
    fn take_rejection(&mut self, key: &CompactString) -> bool {
        let Some(left) = self.rejected_writes.get_mut(key) else {
            return false;
        };
        let is_rejected = *left > 0;
        *left = left.saturating_sub(1);
        is_rejected
    }

    fn commit(&mut self, body: TxnBody) -> Reply {
        let mut is_rejected = |row: &PutRow| self.take_rejection(&row.key);
        if body.puts.iter().any(&mut is_rejected) {
            return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
        }
        let revision = |key: &CompactString| self.items.get(key).map_or(0, |item| item.revision);
        if body.expect.iter().any(|row| revision(&row.key) != row.rev) {
            return empty_reply(StatusCode::PRECONDITION_FAILED);
        }
        let has_lease = |row: &PutRow| row.lease == 0 || self.leases.contains_key(&row.lease);
        if !body.puts.iter().all(has_lease) {
            return empty_reply(StatusCode::NOT_FOUND);
        }
        for row in body.puts {
            let value = STANDARD.decode(&row.value).unwrap_or_default();
            self.put(row.key, value, row.lease);
        }
        for key in body.deletes {
            self.remove(&key);
        }
        json_reply(StatusCode::OK, &json!({ "rev": self.revision }))
    }

    fn put(&mut self, key: CompactString, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = ItemRow {
            value,
            revision,
            lease,
        };
        self.history.push(ChangeRow {
            revision,
            key: key.clone(),
            item: Some(item.clone()),
        });
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: &CompactString) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(ChangeRow {
                revision: self.revision,
                key: key.clone(),
                item: None,
            });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<CompactString> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Changes under `prefix` after revision `after` and the current revision; `None` if changes
    /// after `after` were compacted away.
    fn changes(&self, prefix: &str, after: u64) -> Option<(Vec<Value>, u64)> {
        if after < self.compacted_revision || after > self.revision {
            return None;
        }
        let history = self.history.iter();
        let changes = history.filter(|row| row.revision > after && row.key.starts_with(prefix));
        let events = changes.map(|row| match &row.item {
            Some(item) => item_json(&row.key, item),
            None => json!({ "key": row.key, "rev": row.revision, "tombstone": true }),
        });
        Some((events.collect(), self.revision))
    }
}

fn item_json(key: &str, item: &ItemRow) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "rev": item.revision,
        "create_revision": item.revision,
        "lease": item.lease,
    })
}

fn lease_reply(lease: u64, ttl: Duration) -> Reply {
    json_reply(
        StatusCode::OK,
        &json!({ "lease": lease, "ttl_ms": ttl.as_millis() }),
    )
}
