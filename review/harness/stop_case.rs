//! Gateways are stopped while the heads of some requests are still on their way.
//!
//! The first gateway has short requests that may not be repeated; the second one has streams.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{Connection, KEYS, configure, request, wait_ready};
use crate::http::{Request, read_chunk, read_head};
use crate::processes::{Gateway, start_gateway, wait_until};
use crate::record::Record;
use crate::servers::{Server, head, write_stream};
use crate::store::Store;

/// Time that the platform leaves a process after SIGTERM, `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// When SIGTERM is sent, after the first stream has begun.
const STOP_DELAY: Duration = Duration::from_millis(1_200);
/// LOST leaves out a request that was sent no later than this after SIGTERM, if the server was still
/// at work in the last sixth of the grace.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// When the slow clients begin their heads, after SIGTERM. The platform asks `readyz` once a second
/// and sends connections to a process until two questions in a row were missed.
const BEGIN_AT: Duration = Duration::from_millis(900);
/// When the first of them completes its head. `header_timeout_ms` leaves each 3 s.
const COMPLETE_AT: Duration = Duration::from_millis(2_850);
/// Time between the completions, and the slow clients at each gateway.
const SPACING: Duration = Duration::from_millis(130);
const SLOW_CLIENTS: u32 = 8;
/// Work of a booking: the sheet's largest is 220 ms.
const BOOKING_WORK: Duration = Duration::from_millis(100);
/// Time between the events of a stream, within the pause that the sheet allows.
const GAP: Duration = Duration::from_millis(100);
/// Events of the streams that are under way when the stop comes, and of those of slow clients; the
/// sheet's largest is 69.
const SHORT_STREAM: u32 = 35;
const LONG_STREAM: u32 = 60;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq)]
enum End {
    Whole,
    Refused(u16),
    NotConnected,
    /// The connection ended without a whole answer.
    Broken(String),
}

/// A request with how it ended, and when its last byte was sent and it ended, after SIGTERM.
#[derive(Clone, Debug)]
struct Ended {
    id: String,
    end: End,
    sent_after: Duration,
    ended_after: Duration,
}

type Ends = Arc<Mutex<Vec<Ended>>>;

fn read_end(connection: &mut Connection) -> std::io::Result<End> {
    let head = read_head(&mut connection.reader)?;
    if head.status != 200 {
        return Ok(End::Refused(head.status));
    }
    if !crate::http::is_chunked(&head.headers) {
        crate::http::read_answer_body(&mut connection.reader, &head)?;
        return Ok(End::Whole);
    }
    let mut text = Vec::new();
    while let Some(chunk) = read_chunk(&mut connection.reader)? {
        text.extend(chunk);
    }
    Ok(if text.ends_with(b" (last)\n\n") {
        End::Whole
    } else {
        End::Broken("a stream that ended early looks complete".into())
    })
}

struct Clients {
    front: SocketAddr,
    ends: Ends,
    record: Record,
    /// When SIGTERM is due.
    stops_at: Instant,
    running: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Sends a request whose head is begun at `begin` and completed at `complete`.
    fn send(&mut self, id: &str, path: &str, begin: Instant, complete: Instant) {
        let (front, ends, record) = (self.front, Arc::clone(&self.ends), self.record.clone());
        let stops_at = self.stops_at;
        let (id, text) = (
            id.to_owned(),
            request("POST", path, id, KEYS[0], 8_000, "one tin"),
        );
        self.running.push(spawn(move || {
            sleep_until(begin);
            let end = match Connection::open(front) {
                Ok(mut connection) => {
                    let (first, rest) = text.split_at(14);
                    let sent = connection.write(first);
                    sleep_until(complete);
                    let sent = sent.and_then(|()| connection.write(rest));
                    record.line(&format!("client: {id} has sent all: {sent:?}"));
                    let end = read_end(&mut connection);
                    end.unwrap_or_else(|error| End::Broken(error.to_string()))
                }
                Err(_refused) => End::NotConnected,
            };
            record.line(&format!("client: {id} ended: {end:?}"));
            let ended = Ended {
                id,
                end,
                sent_after: complete.saturating_duration_since(stops_at),
                ended_after: stops_at.elapsed(),
            };
            ends.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(ended);
        }));
    }
}

/// Plays the stop of one gateway, at which slow clients ask for `path`.
fn stop(
    name: &str,
    path: &str,
    gateway: &Gateway,
    record: &Record,
    has_trouble: bool,
) -> Vec<Ended> {
    let start = Instant::now();
    let stopped_at = start + STOP_DELAY;
    let mut clients = Clients {
        front: gateway.front,
        ends: Arc::default(),
        record: record.clone(),
        stops_at: stopped_at,
        running: Vec::new(),
    };
    // Streams that are under way when the stop comes.
    for number in 0..4 {
        let at = start + Duration::from_millis(300) * number;
        clients.send(&format!("{name}.early.{number}"), "/advice/short", at, at);
    }
    sleep_until(stopped_at);
    if has_trouble {
        record.line(&format!("platform: SIGTERM to {name}"));
        gateway.process.signal("TERM");
    }
    for number in 0..SLOW_CLIENTS {
        let (begin, complete) = (
            stopped_at + BEGIN_AT,
            stopped_at + COMPLETE_AT + SPACING * number,
        );
        clients.send(&format!("{name}.slow.{number}"), path, begin, complete);
    }
    if has_trouble {
        let has_ended = wait_until(GRACE, || gateway.process.has_ended());
        let after = stopped_at.elapsed().as_millis();
        if has_ended {
            record.line(&format!("{name} has ended, {after} ms after SIGTERM"));
        } else {
            record.line(&format!("platform: SIGKILL to {name}"));
            gateway.process.signal("KILL");
        }
    }
    for client in clients.running {
        drop(client.join());
    }
    let ends = clients.ends.lock().unwrap_or_else(PoisonError::into_inner);
    ends.clone()
}

fn play(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let store = Store::start(host)?;
    configure(&store);
    let mut servers = Vec::new();
    for (name, service) in [
        ("i-1", "helper-llm"),
        ("i-2", "helper-llm"),
        ("i-3", "helper-llm"),
        ("i-4", "lending-desk"),
        ("i-5", "lending-desk"),
    ] {
        let respond = move |request: &Request, stream: &mut TcpStream| match request.path() {
            "/advice/short" => write_stream(request, stream, name, SHORT_STREAM, GAP),
            "/advice/long" => write_stream(request, stream, name, LONG_STREAM, GAP),
            _ => {
                sleep(BOOKING_WORK);
                let text = head(request, name, "200 OK", "content-length: 6\r\n") + "booked";
                stream.write_all(text.as_bytes())
            }
        };
        let server = Server::start(name, host, record, Arc::new(respond))?;
        server.register(&store, service, "brum");
        servers.push(server);
    }
    let names = [
        ("edge-brum-1", "/booking/2f"),
        ("edge-notts-1", "/advice/long"),
    ];
    let mut stops = Vec::new();
    for (name, path) in names {
        let gateway = start_gateway(name, "brum", store.address)?;
        if !wait_ready(gateway.ready) {
            return Ok(Verdict::NotRun(format!("{name} is not ready")));
        }
        stops.push((name, path, gateway));
    }
    // One after the other, as machines are stopped in turn.
    let mut ends = Vec::new();
    for (name, path, gateway) in &stops {
        ends.extend(stop(name, path, gateway, record, has_trouble));
    }
    let runs: Vec<String> = servers
        .iter()
        .flat_map(Server::runs)
        .map(|run| run.id)
        .collect();
    let mut lost = 0;
    for ended in &ends {
        let Ended { id, end, .. } = ended;
        if !matches!(end, End::Broken(_)) || !runs.contains(id) {
            continue;
        }
        let (sent, after) = (ended.sent_after.as_millis(), ended.ended_after.as_millis());
        let is_excused = ended.sent_after <= EXCUSED_UNTIL && ended.ended_after >= GRACE * 5 / 6;
        lost += u32::from(!is_excused);
        record.line(&format!(
            "{}: {id}, sent {sent} ms after SIGTERM, was passed on to a sound server and ended {after} ms \
             after SIGTERM: {end:?}",
            if is_excused { "excused" } else { "LOST" }
        ));
    }
    let early: Vec<_> = ends
        .iter()
        .filter(|ended| ended.id.contains("early"))
        .collect();
    let whole = early.iter().filter(|ended| ended.end == End::Whole).count();
    record.line(&format!(
        "{whole} of {} streams under way were whole, {lost} requests lost",
        early.len()
    ));
    if whole < early.len() {
        return Ok(Verdict::NotRun("streams under way were not whole".into()));
    }
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}
