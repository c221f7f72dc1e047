//! A server of a plain service, which may leave.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::registry::{self, Entry, BEAT};
use crate::store::Store;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(30);

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub server: String,
    /// Whether the answer said that the server leaves.
    pub says_leaving: bool,
}

/// What all servers have run.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// A server that is registered until it leaves.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    seq: Arc<Mutex<u64>>,
    is_leaving: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
    store: Store,
}

impl Server {
    /// Starts a server of `service` in `zone`.
    pub fn start(store: &Store, id: &str, service: &str, zone: &str, log: &RunLog) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("bound"),
            born: registry::unix_millis(),
            seq: Arc::default(),
            is_leaving: Arc::default(),
            is_over: Arc::default(),
            store: store.clone(),
        };
        let (serving, log) = (server.clone(), Arc::clone(log));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_over.load(Ordering::SeqCst) {
                    return;
                }
                let (server, log) = (serving.clone(), Arc::clone(&log));
                thread::spawn(move || server.serve(stream, &log));
            }
        });
        server
    }

    /// Writes an entry each `BEAT` until the server leaves.
    pub fn beat_on(&self) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_leaving.load(Ordering::SeqCst) {
                server.write(&server.next_entry());
                thread::sleep(BEAT);
            }
        });
    }

    /// The entry of the next heartbeat.
    pub fn next_entry(&self) -> String {
        let mut seq = self.seq.lock().expect("no holder panics");
        *seq += 1;
        let entry = Entry {
            service: &self.service,
            zone: &self.zone,
            address: self.address,
            slots: 6,
            cold_left: Duration::ZERO,
            born: self.born,
            seq: *seq,
        };
        entry.ready()
    }

    /// The store executes a heartbeat with `entry`.
    pub fn write(&self, entry: &str) -> Instant {
        self.store.write(&registry::key(&self.id), entry)
    }

    /// Says in all answers from now on that it leaves; its entry is removed. It goes on serving.
    pub fn leave(&self) -> Instant {
        self.is_leaving.store(true, Ordering::SeqCst);
        registry::remove(&self.store, &registry::key(&self.id));
        Instant::now()
    }

    /// Takes no further connections, and closes the others with their next answer.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        TcpStream::connect(self.address).ok();
    }

    fn serve(&self, stream: TcpStream, log: &RunLog) {
        stream.set_nodelay(true).ok();
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut stream) {
            let name = request.header("x-amaranthgw-request-id").unwrap_or("").to_owned();
            let expected = request.header("x-amaranthgw-expect-instance");
            if expected.is_some_and(|it| it != self.id) {
                let answer =
                    format!("HTTP/1.1 421 X\r\nX-Amaranthgw-Request-Id: {name}\r\nContent-Length: 0\r\n\r\n");
                if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let at = Instant::now();
            thread::sleep(WORK);
            let says_leaving = self.is_leaving.load(Ordering::SeqCst);
            log.lock().expect("no holder panics").push(Run {
                at,
                request: name.clone(),
                server: self.id.clone(),
                says_leaving,
            });
            let body = format!("ran by {}\n", self.id);
            let leaving = if says_leaving {
                "Server-Leaving: 1\r\nConnection: close\r\n"
            } else {
                "Keep-Alive: timeout=10\r\n"
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Amaranthgw-Request-Id: {name}\r\nX-Amaranthgw-Server-Stamp: s.{}\r\n\
                 X-Amaranthgw-Server-Load: 1,0,6\r\nContent-Length: {}\r\n{leaving}\r\n{body}",
                self.id,
                body.len()
            );
            let written = stream.get_mut().write_all(answer.as_bytes());
            if written.is_err() || says_leaving || self.is_over.load(Ordering::SeqCst) {
                return;
            }
        }
    }
}
