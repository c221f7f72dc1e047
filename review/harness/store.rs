//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, serve};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct World {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key and revision of each change, with the item unless it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// End and duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<World>, Condvar)>,
    pub address: SocketAddr,
}

/// Most items of one page.
const PAGE_ITEMS: usize = 50;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Shortest lease.
const MIN_TTL_MS: u64 = 1_000;

impl Store {
    pub fn start(host: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let store = Self {
            shared: Arc::new((Mutex::new(World::default()), Condvar::new())),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        serve(listener, move |reader, _peer| served.answer_all(reader));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes an item as an operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.world().put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire(&self) {
        let mut world = self.world();
        let now = Instant::now();
        let ended: Vec<u64> = world
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            world.end_lease(*lease);
        }
        drop(world);
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer_all(&self, mut reader: BufReader<TcpStream>) {
        while let Ok(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            std::thread::sleep(ANSWER_TIME);
            let text = format!(
                "HTTP/1.1 {status} .\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let text = |name| request.parameter(name).unwrap_or_default();
        let number = |name| text(name).parse::<u64>().unwrap_or_default();
        match (request.method.as_str(), request.path()) {
            ("GET", "/kv-key") => {
                let world = self.world();
                match world.items.get(&text("key")) {
                    Some(item) => (200, item_json(&text("key"), item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => self.world().page(&text("prefix"), &text("after")),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms").min(30_000));
                self.watch(&text("prefix"), number("after"), wait)
            }
            ("POST", "/kv-txn") => {
                let answer = self.world().transact(&request.body);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let asked = body.as_ref().and_then(|body| body.get("ttl_ms")?.number());
                let ttl = asked.unwrap_or_default().max(MIN_TTL_MS);
                let mut world = self.world();
                world.last_lease += 1;
                let (lease, time) = (world.last_lease, Duration::from_millis(ttl));
                world.leases.insert(lease, (Instant::now() + time, time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            (method, path) => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut world = self.world();
                let Some((until, time)) = world.leases.get_mut(&lease) else {
                    return (404, "{}".to_owned());
                };
                if method == "POST" && path.starts_with("/kv-keep/") {
                    *until = Instant::now() + *time;
                    let ttl = time.as_millis();
                    return (200, format!("{{\"ttl_ms\":{ttl}}}"));
                }
                world.end_lease(lease);
                drop(world);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut world = self.world();
        loop {
            let is_new =
                |row: &&(u64, String, Option<Item>)| row.0 > after && row.1.starts_with(prefix);
            let events: Vec<String> = world
                .history
                .iter()
                .filter(is_new)
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"tombstone\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), world.revision);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            let waited = self.shared.1.wait_timeout(world, left);
            world = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl World {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn page(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut items = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = items
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let (has_more, as_of) = (items.next().is_some(), self.revision);
        let entries = page.join(",");
        let body = format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"as_of\":{as_of}}}");
        (200, body)
    }

    fn transact(&mut self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let rows = |name| body.get(name).map(Json::list).unwrap_or_default();
        let key_of = |row: &Json| {
            row.get("key")
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        for row in rows("expect") {
            let known = self.items.get(&key_of(row)).map_or(0, |item| item.revision);
            if row.get("rev").and_then(Json::number) != Some(known) {
                return (412, "{\"entries\":[]}".to_owned());
            }
        }
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or_default();
        for row in rows("puts") {
            if lease_of(row) > 0 && !self.leases.contains_key(&lease_of(row)) {
                return (404, "{}".to_owned());
            }
        }
        for row in rows("puts") {
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            self.put(&key_of(row), decode(value), lease_of(row));
        }
        for key in rows("deletes") {
            self.delete(key.text().unwrap_or_default());
        }
        (200, format!("{{\"rev\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":{}}}",
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_used = digit <= part.len();
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_used {
                DIGITS[value as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let value = |byte: u8| DIGITS.iter().position(|digit| *digit == byte);
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for digit in text.bytes().filter_map(value) {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
