//! A server of event streams as a process of its own, which a request may crash, and its registration.

use std::io::{BufRead, BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};
use crate::registry::{self, Entry, BEAT, LAPSE};
use crate::store::Store;

/// Time from a crash until the server is back.
const DOWN: Duration = Duration::from_secs(4);
/// Time for which a server is cold after a start during traffic.
const COLD: Duration = Duration::from_secs(3);
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 28;
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Text in the body of a request that crashes the servers that run it.
pub const DEADLY: &str = "deadly";

/// What happened at a server.
#[derive(Clone, Debug)]
pub enum Occurrence {
    /// It got a request.
    Arrived { request: String },
    /// It wrote the first event of its run.
    Began { request: String },
    /// Its process ended.
    Crashed,
}

/// An occurrence with its server and time.
#[derive(Clone, Debug)]
pub struct LogRow {
    pub at: Instant,
    pub server: String,
    pub what: Occurrence,
}

/// What happened at all servers, in the order in which it was heard of.
pub type ServerLog = Arc<Mutex<Vec<LogRow>>>;

/// Runs a server until a request crashes it; for a process of its own.
pub fn serve(id: &str, address: &str) -> ! {
    let listener = TcpListener::bind(address).expect("the address of the server");
    println!("ready");
    thread::spawn(|| {
        // Ends with the program that started it.
        std::io::stdin().lines().for_each(drop);
        exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            stream.set_nodelay(true).ok();
            let mut stream = BufReader::new(stream);
            while let Ok(Some(request)) = read_message(&mut stream) {
                if answer(stream.get_mut(), &id, &request).is_err() {
                    return;
                }
            }
        });
    }
    exit(1);
}

fn answer(stream: &mut TcpStream, id: &str, request: &Message) -> Result<()> {
    let name = request.header("x-amaranthgw-request-id").unwrap_or("");
    if request.header("x-amaranthgw-expect-instance").is_some_and(|it| it != id) {
        let answer =
            format!("HTTP/1.1 421 X\r\nX-Amaranthgw-Request-Id: {name}\r\nContent-Length: 0\r\n\r\n");
        return stream.write_all(answer.as_bytes());
    }
    println!("arrived {name}");
    let is_deadly = std::env::var("TROUBLE").is_ok_and(|value| value != "0")
        && String::from_utf8_lossy(&request.body).contains(DEADLY);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Amaranthgw-Request-Id: {name}\r\nX-Amaranthgw-Server-Stamp: s.{id}\r\n\
         X-Amaranthgw-Server-Load: 1,0,12\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Keep-Alive: timeout=10\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let seen = request.header("last-event-id").and_then(|id| id.parse().ok());
    let first: u64 = seen.map_or(1, |last: u64| last + 1);
    for event in first..=EVENTS {
        thread::sleep(EVENT_GAP);
        let text = format!("id: {event}\ndata: part {event} by {id}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        if event == first {
            println!("began {name}");
        }
        if is_deadly {
            // The run has begun with its first token; the next pass takes the process down.
            thread::sleep(EVENT_GAP);
            exit(101);
        }
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Keeps a server at a free loopback address until `stopped`: starts it again some seconds after each crash,
/// under a new id, and writes its registry entry.
pub fn keep(
    store: &Store,
    number: usize,
    service: &str,
    zone: &str,
    has_trouble: bool,
    stopped: &Arc<AtomicBool>,
    log: &ServerLog,
) -> thread::JoinHandle<()> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let (store, service, zone) = (store.clone(), service.to_owned(), zone.to_owned());
    let (stopped, log) = (Arc::clone(stopped), Arc::clone(log));
    thread::spawn(move || {
        for start in 0.. {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("i-{number}-{start}");
            let mut child = spawn(&id, address, has_trouble, &log);
            let key = registry::key(&id);
            let (started_at, born) = (Instant::now(), registry::unix_millis());
            let (mut seq, mut beat_at) = (0, started_at);
            while child.try_wait().is_ok_and(|ended| ended.is_none()) {
                if stopped.load(Ordering::SeqCst) {
                    child.kill().ok();
                    child.wait().ok();
                    return;
                }
                if Instant::now() >= beat_at {
                    seq += 1;
                    // Servers that start during traffic are cold at first.
                    let cold = COLD.saturating_sub(started_at.elapsed());
                    let entry = Entry {
                        service: &service,
                        zone: &zone,
                        address,
                        slots: 12,
                        cold_left: if start == 0 { Duration::ZERO } else { cold },
                        born,
                        seq,
                    };
                    store.write(&key, &entry.ready());
                    beat_at = Instant::now() + BEAT;
                }
                thread::sleep(Duration::from_millis(2));
            }
            record(&log, &id, Occurrence::Crashed);
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(LAPSE);
                registry::remove(&store, &key);
            });
            thread::sleep(DOWN);
        }
    })
}

/// Starts the process of a server; returns once it listens.
fn spawn(id: &str, address: SocketAddr, has_trouble: bool, log: &ServerLog) -> Child {
    let program = std::env::current_exe().expect("this program");
    let mut child = Command::new(program)
        .args(["stream-server", id, &address.to_string()])
        .env("TROUBLE", if has_trouble { "1" } else { "0" })
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the server");
    let mut lines = BufReader::new(child.stdout.take().expect("piped"));
    let mut ready = String::new();
    lines.read_line(&mut ready).expect("the server listens");
    let (id, log) = (id.to_owned(), Arc::clone(log));
    thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            let Some((what, request)) = line.split_once(' ') else {
                continue;
            };
            let request = request.to_owned();
            let what = match what {
                "arrived" => Occurrence::Arrived { request },
                _ => Occurrence::Began { request },
            };
            record(&log, &id, what);
        }
    });
    child
}

fn record(log: &ServerLog, server: &str, what: Occurrence) {
    let row = LogRow {
        at: Instant::now(),
        server: server.to_owned(),
        what,
    };
    log.lock().expect("no holder panics").push(row);
}
