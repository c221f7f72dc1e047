//! The platform's metadata store, as PROTOCOL tells it, with connections that can go silent.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{json_answer, read_message};
use crate::json::{decode_base64, encode_base64, parse, quote};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    rev: u64,
    /// The item as it was written; `None` for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64, rev: u64) {
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, rev, Some(item));
    }

    fn remove(&mut self, key: &str, rev: u64) {
        if self.items.remove(key).is_some() {
            self.record(key, rev, None);
        }
    }

    fn record(&mut self, key: &str, rev: u64, item: Option<Item>) {
        self.rev = rev;
        let key = key.to_owned();
        self.events.push(Event { key, rev, item });
    }

    /// Removes the keys of leases that have ended.
    fn expire(&mut self) {
        let now = Instant::now();
        let is_over = |(_, (end, _)): &(&u64, &(Instant, Duration))| *end <= now;
        let over: Vec<u64> = self.leases.iter().filter(is_over).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            let rev = self.rev + 1;
            self.remove(&key, rev);
        }
        known
    }
}

/// The store; its clones are one store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    last_connection: Arc<AtomicU64>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store at a free port of `127.0.0.1`.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            rev: 100,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            silent_below: Arc::default(),
            last_connection: Arc::default(),
            address: listener.local_addr().expect("bound"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = serving.last_connection.fetch_add(1, Ordering::SeqCst);
                let store = serving.clone();
                thread::spawn(move || store.serve(stream, number));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.lock().expire();
            expiring.state.1.notify_all();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no holder panics")
    }

    /// All connections that are open now go silent: they stay open, and nothing more passes in either
    /// direction. New ones work.
    pub fn silence(&self) {
        let next = self.last_connection.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    /// Writes `key` as the operator or a server does; returns the time of the acknowledgement.
    pub fn write(&self, key: &str, value: &str) -> Instant {
        let mut state = self.lock();
        let rev = state.rev + 1;
        state.put(key, value.as_bytes().to_vec(), 0, rev);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Number of keys that begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.lock();
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        stream.set_nodelay(true).ok();
        let mut stream = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut stream) {
            if self.is_silent(number) {
                break;
            }
            let (method, target) = call.target();
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let answer = self.answer(method, target, &body, number);
            // The store answers within some milliseconds.
            thread::sleep(Duration::from_millis(2));
            if self.is_silent(number) || stream.get_mut().write_all(&answer).is_err() {
                break;
            }
        }
        if self.is_silent(number) {
            // Keeps the socket open.
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str, number: u64) -> Vec<u8> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        match (method, path) {
            ("GET", "/kv-key") => self.read_key(&field("key")),
            ("GET", "/kv-range") => self.read_range(&field("prefix"), &field("after")),
            ("GET", "/kv-watch") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                self.watch(&field("prefix"), after, Duration::from_millis(wait), number)
            }
            ("POST", "/kv-txn") => self.commit(body),
            ("POST", "/kv-lease") => self.grant(body),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(&path[9..]),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => self.end(&path[14..]),
            _ => json_answer(400, "{}"),
        }
    }

    fn read_key(&self, key: &str) -> Vec<u8> {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => json_answer(200, &item_text(key, item, Some(state.rev))),
            None => json_answer(404, "{}"),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> Vec<u8> {
        let state = self.lock();
        let is_meant = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let items = state.items.iter().filter(|(key, _)| is_meant(key));
        let entries: Vec<String> = items
            .map(|(key, item)| item_text(key, item, None))
            .collect();
        let page = format!(
            "{{\"entries\":[{}],\"has_more\":false,\"as_of\":{}}}",
            entries.join(","),
            state.rev
        );
        json_answer(200, &page)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, number: u64) -> Vec<u8> {
        let ends_at = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let is_meant = |it: &&Event| it.rev > after && it.key.starts_with(prefix);
            let events: Vec<String> = state
                .events
                .iter()
                .filter(is_meant)
                .map(event_text)
                .collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_silent(number) {
                let as_of = state.rev.max(after);
                let page = format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(","));
                return json_answer(200, &page);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no holder panics").0;
        }
    }

    fn commit(&self, body: &str) -> Vec<u8> {
        let Some(call) = parse(body) else {
            return json_answer(400, "{}");
        };
        let mut state = self.lock();
        state.expire();
        for row in call.get("expect").list() {
            let known = state.items.get(row.get("key").text());
            if known.map_or(0, |item| item.rev) != row.get("rev").number() {
                return json_answer(412, "{\"entries\":[]}");
            }
        }
        for put in call.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return json_answer(404, "{}");
            }
        }
        let rev = state.rev + 1;
        for put in call.get("puts").list() {
            let value = decode_base64(put.get("value").text());
            state.put(put.get("key").text(), value, put.get("lease").number(), rev);
        }
        for key in call.get("deletes").list() {
            state.remove(key.text(), rev);
        }
        state.rev = rev;
        self.state.1.notify_all();
        json_answer(200, &format!("{{\"rev\":{rev}}}"))
    }

    fn grant(&self, body: &str) -> Vec<u8> {
        let ttl = parse(body).map_or(0, |call| call.get("ttl_ms").number());
        let time = Duration::from_millis(ttl);
        let mut state = self.lock();
        state.last_lease += 1;
        let lease = 77_000 + state.last_lease;
        state.leases.insert(lease, (Instant::now() + time, time));
        json_answer(200, &format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, lease: &str) -> Vec<u8> {
        let mut state = self.lock();
        state.expire();
        let lease = lease.parse().unwrap_or(0);
        match state.leases.get_mut(&lease) {
            Some((end, time)) => {
                *end = Instant::now() + *time;
                json_answer(200, &format!("{{\"ttl_ms\":{}}}", time.as_millis()))
            }
            None => json_answer(404, "{}"),
        }
    }

    fn end(&self, lease: &str) -> Vec<u8> {
        let known = self.lock().end_lease(lease.parse().unwrap_or(0));
        self.state.1.notify_all();
        json_answer(if known { 200 } else { 404 }, "{}")
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn item_text(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let as_of = as_of.map_or(String::new(), |rev| format!(",\"as_of\":{rev}"));
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":{}{as_of}}}",
        quote(key),
        encode_base64(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

fn event_text(event: &Event) -> String {
    match &event.item {
        Some(item) => item_text(&event.key, item, None),
        None => format!(
            "{{\"key\":{},\"rev\":{},\"tombstone\":true}}",
            quote(&event.key),
            event.rev
        ),
    }
}
