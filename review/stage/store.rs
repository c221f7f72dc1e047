//! Stand-in of the platform's metadata store: items, pages, watches, conditional writes and leases, as PROTOCOL
//! tells them, and the drill of the later news: it comes back from an older copy.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::http::{Outcome, Reply, Request};
use super::json::{Json, quoted};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
enum Change {
    Written(String, Item),
    Removed(String, u64),
}

/// What a copy holds.
#[derive(Clone, Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    rev: u64,
    next_lease: u64,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    history: Vec<(u64, Change)>,
    /// Watches from an earlier revision get 410.
    history_from: u64,
    copy: Option<Content>,
    era: u64,
    is_away: bool,
    /// Keys that processes of the system wrote under a condition, with the value written last.
    conditional: Vec<(Instant, String, Vec<u8>)>,
}

/// Runs once, just before the next listing of a prefix is answered.
type Hook = Box<dyn FnOnce() + Send>;

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    hook: Arc<Mutex<Option<(String, Hook)>>>,
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.lock().content.rev = 100;
        store.lock().content.next_lease = 1;
        store.lock().history_from = 100;
        let leases = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                leases.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Writes as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
    }

    /// Removes as the operator or a server does.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.remove(key);
        self.state.1.notify_all();
    }

    /// What was last written under a condition, to a key with this end.
    pub fn last_conditional(&self, end: &str) -> Option<(Instant, String)> {
        let state = self.lock();
        let mut found = state.conditional.iter().rev();
        let found = found.find(|(_, key, _)| key.ends_with(end))?;
        Some((found.0, String::from_utf8_lossy(&found.2).into_owned()))
    }

    /// Runs `hook` just before the next listing of `prefix` is answered.
    pub fn before_next_listing(&self, prefix: &str, hook: Hook) {
        *self.hook.lock().unwrap_or_else(|it| it.into_inner()) = Some((prefix.to_owned(), hook));
    }

    /// Takes the copy from which `come_back` returns.
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.copy = Some(state.content.clone());
    }

    /// The store goes away: connections get no answer.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from the copy: what was written since is gone, leases that were granted since too.
    pub fn come_back(&self) {
        let mut state = self.lock();
        if let Some(mut copy) = state.copy.take() {
            let now = Instant::now();
            for (until, ttl) in copy.leases.values_mut() {
                *until = now + *ttl;
            }
            state.history.clear();
            state.history_from = copy.rev;
            state.content = copy;
            state.era += 1;
        }
        state.is_away = false;
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let over: Vec<u64> = state
            .content
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    pub fn handle(&self, request: &Request) -> Outcome {
        // The store takes some milliseconds to answer.
        std::thread::sleep(Duration::from_millis(2));
        if self.lock().is_away {
            return Outcome::Silent(Duration::from_millis(200));
        }
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.read(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => match self.watch(request) {
                Some(reply) => reply,
                None => return Outcome::Close,
            },
            ("POST", "/kv-txn") => self.transact(request),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(path),
            _ => Reply::new(404, "{}"),
        };
        let era = self.lock().era;
        let reply = reply.with("Content-Type", "application/json");
        Outcome::Answer(reply.with("Store-Era", era.to_string()))
    }

    fn read(&self, request: &Request) -> Reply {
        let state = self.lock();
        let key = request.parameter("key").unwrap_or_default();
        match state.content.items.get(&key) {
            Some(item) => {
                let fields = fields_of(&key, item);
                Reply::new(200, format!("{{{fields},\"as_of\":{}}}", state.content.rev))
            }
            None => Reply::new(404, format!("{{\"as_of\":{}}}", state.content.rev)),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let hook = {
            let mut hook = self.hook.lock().unwrap_or_else(|it| it.into_inner());
            hook.take_if(|(wanted, _)| *wanted == prefix)
        };
        if let Some((_, hook)) = hook {
            hook();
        }
        let state = self.lock();
        let after = request.parameter("after").unwrap_or_default();
        let items = state.content.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut rows: Vec<String> = items
            .take(501)
            .map(|(key, item)| format!("{{{}}}", fields_of(key, item)))
            .collect();
        let has_more = rows.len() > 500;
        rows.truncate(500);
        Reply::new(
            200,
            format!(
                "{{\"entries\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
                rows.join(","),
                state.content.rev,
            ),
        )
    }

    /// `None` if the watch is cut.
    fn watch(&self, request: &Request) -> Option<Reply> {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| {
            request
                .parameter(name)
                .and_then(|it| it.parse().ok())
                .unwrap_or(0)
        };
        let (after, wait): (u64, u64) = (number("after"), number("wait_ms"));
        let ends_at = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            if after < state.history_from || after > state.content.rev {
                return Some(Reply::new(410, "{}"));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(rev, _)| *rev > after)
                .filter_map(|(_, change)| match change {
                    Change::Written(key, item) if key.starts_with(&prefix) => {
                        Some(format!("{{{}}}", fields_of(key, item)))
                    }
                    Change::Removed(key, rev) if key.starts_with(&prefix) => Some(format!(
                        "{{\"key\":{},\"rev\":{rev},\"tombstone\":true}}",
                        quoted(key)
                    )),
                    _ => None,
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                let as_of = state.content.rev;
                return Some(Reply::new(
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(","),),
                ));
            }
            let left = (ends_at - now).min(Duration::from_millis(100));
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|it| it.into_inner()).0;
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::new(400, "{}");
        };
        let mut state = self.lock();
        let rows = |name: &str| body.get(name).map_or(&[][..], Json::list);
        let is_met = rows("expect").iter().all(|row| {
            let known = state
                .content
                .items
                .get(row.word("key"))
                .map_or(0, |item| item.rev);
            known == row.whole("rev")
        });
        if !is_met {
            return Reply::new(412, "{\"entries\":[]}");
        }
        let puts = rows("puts");
        let has_lease = |row: &Json| {
            let lease = row.whole("lease");
            lease == 0 || state.content.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return Reply::new(404, "{}");
        }
        if puts.iter().any(|row| {
            row.word("key").starts_with("op/") || row.word("key").starts_with("servers/")
        }) {
            return Reply::new(403, "{}");
        }
        let is_conditional = !rows("expect").is_empty();
        for row in puts {
            let value = decode_base64(row.word("value"));
            if is_conditional {
                let key = row.word("key").to_owned();
                state.conditional.push((Instant::now(), key, value.clone()));
            }
            state.put(row.word("key"), value, row.whole("lease"));
        }
        for row in rows("deletes") {
            state.remove(row.text().unwrap_or_default());
        }
        self.state.1.notify_all();
        Reply::new(200, format!("{{\"rev\":{}}}", state.content.rev))
    }

    fn grant(&self, request: &Request) -> Reply {
        let ttl = Json::parse(&request.body).map_or(0, |body| body.whole("ttl_ms"));
        let ttl = ttl.clamp(1_000, 600_000);
        let mut state = self.lock();
        state.content.next_lease += 1;
        let lease = state.content.next_lease;
        let time = Duration::from_millis(ttl);
        state
            .content
            .leases
            .insert(lease, (Instant::now() + time, time));
        Reply::new(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, path: &str) -> Reply {
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let mut state = self.lock();
        match state.content.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                let ttl = ttl.as_millis();
                Reply::new(200, format!("{{\"ttl_ms\":{ttl}}}"))
            }
            None => Reply::new(404, "{}"),
        }
    }

    fn end(&self, path: &str) -> Reply {
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let mut state = self.lock();
        if !state.content.leases.contains_key(&lease) {
            return Reply::new(404, "{}");
        }
        state.end_lease(lease);
        self.state.1.notify_all();
        Reply::new(200, "{}")
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.content.rev += 1;
        let rev = self.content.rev;
        let created = self.content.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.content.items.insert(key.to_owned(), item.clone());
        self.history
            .push((rev, Change::Written(key.to_owned(), item)));
    }

    fn remove(&mut self, key: &str) {
        if self.content.items.remove(key).is_some() {
            self.content.rev += 1;
            let rev = self.content.rev;
            self.history
                .push((rev, Change::Removed(key.to_owned(), rev)));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.content.leases.remove(&lease);
        let keys: Vec<String> = self
            .content
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn fields_of(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":{}",
        quoted(key),
        encode_base64(&item.value),
        item.rev,
        item.created,
        item.lease,
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for at in 0..3 {
            word = word << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|it| *it == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}
