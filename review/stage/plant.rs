//! Stand-ins of plain servers, which register themselves in the store, and of clients.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::http::{Client, Handler, Outcome, Reply, Request, Server};
use super::stage::{Record, unix_ms};
use super::store::Store;

/// Interval between the heartbeats of a server.
pub const BEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

#[derive(Debug)]
struct State {
    /// Start of the server in Unix milliseconds; 0 while it is down.
    born: u64,
    seq: u64,
    cold_until: Option<Instant>,
    /// What its entry says; `None` if it has none.
    entry: Option<&'static str>,
    says_leaving: bool,
    running: usize,
    arrivals: Vec<Arrival>,
}

/// A plain server.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    slots: usize,
    work: Duration,
    store: Store,
    record: Record,
    is_logged: bool,
    state: Arc<(Mutex<State>, Condvar)>,
    server: Arc<Mutex<Option<Server>>>,
}

impl Target {
    pub fn new(
        id: &str,
        address: SocketAddr,
        (service, zone): (&'static str, &'static str),
        (slots, work): (usize, Duration),
        store: &Store,
        record: &Record,
    ) -> Self {
        let state = State {
            born: 0,
            seq: 0,
            cold_until: None,
            entry: None,
            says_leaving: false,
            running: 0,
            arrivals: Vec::new(),
        };
        // A free port, which the server keeps.
        let port = TcpListener::bind(address)
            .and_then(|it| it.local_addr())
            .map_or(0, |it| it.port());
        let target = Self {
            id: id.to_owned(),
            address: SocketAddr::new(address.ip(), port),
            zone,
            service,
            slots,
            work,
            store: store.clone(),
            record: record.clone(),
            is_logged: true,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            server: Arc::default(),
        };
        let beating = target.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                beating.beat_if_due();
            }
        });
        target
    }

    /// Leaves single requests out of the record.
    pub fn unlogged(mut self) -> Self {
        self.is_logged = false;
        self
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Starts the server, which is cold for `cold`, and registers it.
    pub fn start(&self, cold: Duration) -> std::io::Result<()> {
        let handled = self.clone();
        let handler: Handler = Arc::new(move |request: &Request| handled.handle(request));
        let server = Server::start(self.address, handler)?;
        *self.server.lock().unwrap_or_else(|it| it.into_inner()) = Some(server);
        let now = Instant::now();
        {
            let mut state = self.lock();
            state.born = unix_ms();
            state.seq = 0;
            state.cold_until = (!cold.is_zero()).then_some(now + cold);
            state.entry = Some("ready");
            state.says_leaving = false;
        }
        let text = format!(
            "server {} starts, cold for {} ms",
            self.id,
            cold.as_millis()
        );
        self.record.line(&text);
        self.beat();
        Ok(())
    }

    /// The server ends without a word: its connections close, new ones are refused.
    pub fn crash(&self) {
        if let Some(server) = self
            .server
            .lock()
            .unwrap_or_else(|it| it.into_inner())
            .take()
        {
            server.stop();
        }
        self.lock().born = 0;
        self.record.line(&format!("server {} ends", self.id));
    }

    /// What the next heartbeat says: `None` removes the entry.
    pub fn set_entry(&self, entry: Option<&'static str>) {
        self.lock().entry = entry;
        let text = entry.unwrap_or("removed");
        self.record
            .line(&format!("entry of server {}: {text}", self.id));
        if entry.is_some() {
            self.beat();
        } else {
            self.store.remove(&format!("servers/{}", self.id));
        }
    }

    /// From now on all its answers say that it leaves.
    pub fn say_leaving(&self) {
        self.lock().says_leaving = true;
    }

    /// The heartbeat that the server would write now.
    pub fn next_beat(&self) -> Option<String> {
        let mut state = self.lock();
        let entry = state.entry.filter(|_| state.born > 0)?;
        state.seq += 1;
        let now = Instant::now();
        let cold = state
            .cold_until
            .map_or(0, |until| until.saturating_duration_since(now).as_millis());
        Some(format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{entry}\",\"cold_left_ms\":{cold},\"seq\":{},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, state.seq, state.born,
        ))
    }

    /// Writes a heartbeat.
    pub fn beat(&self) {
        if let Some(beat) = self.next_beat() {
            self.store.put(&format!("servers/{}", self.id), &beat);
        }
    }

    fn beat_if_due(&self) {
        let due = {
            let state = self.lock();
            state.born > 0 && {
                let age = unix_ms().saturating_sub(state.born);
                // The first heartbeat is written at the start.
                age / BEAT.as_millis() as u64 + 1 > state.seq
            }
        };
        if due {
            self.beat();
        }
    }

    pub fn is_up(&self) -> bool {
        self.lock().born > 0
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    fn handle(&self, request: &Request) -> Outcome {
        let id = request
            .header("x-amaranthgw-request-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("x-amaranthgw-expect-instance");
        if expected.is_some_and(|it| it != self.id) {
            return Outcome::Answer(
                Reply::new(421, "")
                    .with("X-Amaranthgw-Instance-Id", self.id.clone())
                    .with("X-Amaranthgw-Request-Id", id),
            );
        }
        let born = {
            let mut state = self.lock();
            state.arrivals.push(Arrival {
                id: id.clone(),
                at: Instant::now(),
            });
            state.born
        };
        if self.is_logged {
            self.record
                .line(&format!("request {id} reaches server {}", self.id));
        }
        {
            let mut state = self.lock();
            while state.running >= self.slots {
                let waited = self.state.1.wait(state);
                state = waited.unwrap_or_else(|it| it.into_inner());
            }
            state.running += 1;
        }
        let ends_at = Instant::now() + self.work;
        while Instant::now() < ends_at && self.lock().born == born {
            std::thread::sleep(
                Duration::from_millis(2).min(ends_at.saturating_duration_since(Instant::now())),
            );
        }
        let (says_leaving, is_up) = {
            let mut state = self.lock();
            state.running -= 1;
            self.state.1.notify_one();
            (state.says_leaving, state.born == born)
        };
        if !is_up {
            if self.is_logged {
                self.record
                    .line(&format!("request {id} is lost with server {}", self.id));
            }
            return Outcome::Close;
        }
        if self.is_logged {
            let leaving = if says_leaving {
                ", and says that it leaves"
            } else {
                ""
            };
            self.record
                .line(&format!("server {} answers request {id}{leaving}", self.id));
        }
        let mut reply = Reply::new(200, format!("ran {id} at {}", self.id))
            .with("X-Amaranthgw-Request-Id", id)
            .with("X-Amaranthgw-Server-Stamp", format!("stamp.{}", self.id))
            .with(
                "X-Amaranthgw-Server-Load",
                format!("{},0,{}", self.lock().running, self.slots),
            );
        if says_leaving {
            reply = reply.with("Server-Leaving", "1");
        }
        Outcome::Answer(reply)
    }
}

/// When requests were sent, by their ids.
pub type SentTimes = Arc<Mutex<HashMap<String, Instant>>>;

/// A request as a client of the sheet sends it.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> Request {
    let headers = [
        ("Host", "tins.example".to_owned()),
        ("X-Amaranthgw-Request-Id", id.to_owned()),
        ("X-Amaranthgw-Deadline-Ms", deadline_ms.to_string()),
    ];
    Request {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: headers
            .map(|(name, value)| (name.to_owned(), value))
            .to_vec(),
        body: if method == "POST" {
            b"book a tin".to_vec()
        } else {
            Vec::new()
        },
        ..Request::default()
    }
}

/// Clients that send requests at even intervals, each over a connection of its own.
pub struct Clients {
    is_over: Arc<AtomicBool>,
    pub sent: SentTimes,
    /// Answers by status; 0 where there was none.
    pub answers: Arc<Mutex<HashMap<u16, u64>>>,
    /// Answers with the server that wrote them, and when they reached the client.
    pub answered: Arc<Mutex<Vec<(String, String, Instant)>>>,
}

impl Clients {
    /// Starts `count` clients, each of which sends a request in `interval` to one of `gateways`.
    pub fn start(
        count: usize,
        interval: Duration,
        gateways: &[SocketAddr],
        (method, path, deadline_ms): (&'static str, &'static str, u64),
        record: Option<Record>,
    ) -> Self {
        let clients = Self {
            is_over: Arc::default(),
            sent: Arc::default(),
            answers: Arc::default(),
            answered: Arc::default(),
        };
        static NEXT: AtomicU64 = AtomicU64::new(1);
        for number in 0..count {
            let (is_over, sent) = (Arc::clone(&clients.is_over), Arc::clone(&clients.sent));
            let (answers, record) = (Arc::clone(&clients.answers), record.clone());
            let answered = Arc::clone(&clients.answered);
            let gateway = gateways[number % gateways.len()];
            let offset = interval * number as u32 / count as u32;
            std::thread::spawn(move || {
                std::thread::sleep(offset);
                let mut client = Client::new(gateway, Duration::from_millis(deadline_ms + 500));
                let mut next_at = Instant::now();
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!(
                        "{:016x}",
                        0x5e00_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst)
                    );
                    let now = Instant::now();
                    sent.lock()
                        .unwrap_or_else(|it| it.into_inner())
                        .insert(id.clone(), now);
                    if let Some(record) = &record {
                        record.line(&format!("client sends {method} {path} {id}"));
                    }
                    let reply = client.call(&request(method, path, &id, deadline_ms));
                    let status = reply.as_ref().map_or(0, |reply| reply.status);
                    let stamp = reply
                        .as_ref()
                        .ok()
                        .and_then(|it| it.header("x-amaranthgw-server-stamp"));
                    if let Some(server) = stamp.and_then(|it| it.strip_prefix("stamp.")) {
                        let row = (id.clone(), server.to_owned(), Instant::now());
                        answered
                            .lock()
                            .unwrap_or_else(|it| it.into_inner())
                            .push(row);
                    }
                    if let Some(record) = &record {
                        record.line(&format!("client gets {status} to {id}"));
                    }
                    *answers
                        .lock()
                        .unwrap_or_else(|it| it.into_inner())
                        .entry(status)
                        .or_default() += 1;
                    next_at = (next_at + interval).max(Instant::now());
                    std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
                }
            });
        }
        clients
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// A configuration with one service of plain servers and its two routes.
pub fn config(cold_s: f64, cold_per_s: f64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"tins.example\",\"prefix\":\"{prefix}\",\"route_kind\":\"{kind}\",\
         \"timeout_ms\":2500,\"goal_ms\":150,\"priority\":2,\"service\":\"desk\",\"attempts\":{attempts},\
         \"public\":true}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_conns\":278,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":{cold_s:.1},\"cold_per_s\":{cold_per_s:.1}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        route("shelf", "/shelf/", "idempotent", 2),
        route("book", "/book/", "non_idempotent", 1),
    )
}
