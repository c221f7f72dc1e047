//! A gateway is stopped while servers have preempted some streams, which go on after a pause.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{Connection, KEYS, configure, request, wait_ready};
use crate::http::{Request, read_chunk, read_head};
use crate::processes::{start_gateway, wait_until};
use crate::record::Record;
use crate::servers::{Server, head};
use crate::store::Store;

/// Time that the platform leaves a process after SIGTERM, `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
const EVENTS: u32 = 28;
const GAP: Duration = Duration::from_millis(60);
/// Events of the other streams, about the sheet's largest.
const OTHER_EVENTS: u32 = 69;
/// Events before which a preempted stream pauses, the second one only where it may be resumed, and for
/// how long: clients wait for 2 s.
const FIRST_PAUSE: u32 = 10;
const SECOND_PAUSE: u32 = 20;
const PAUSE: Duration = Duration::from_millis(1_850);
/// When the streams that are preempted are sent, and when SIGTERM comes.
const SENT_AT: Duration = Duration::from_millis(2_000);
const STOP_AT: Duration = Duration::from_millis(2_300);
const PREEMPTED: u32 = 4;
/// Streams that may be resumed and are preempted in each of their two runs.
const PREEMPTED_TWICE: u32 = 2;
/// Other streams: one in each interval, until the platform sends no more connections.
const OTHERS_INTERVAL: Duration = Duration::from_millis(150);
const OTHERS_UNTIL: Duration = Duration::from_millis(3_200);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

/// Writes a stream, which pauses if its path says so.
fn answer(
    request: &Request,
    stream: &mut TcpStream,
    name: &str,
    record: &Record,
) -> std::io::Result<()> {
    let extra = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    stream.write_all(head(request, name, "200 OK", extra).as_bytes())?;
    let id = request
        .header("x-amaranthgw-request-id")
        .unwrap_or_default();
    let last = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let is_resumable = request.path() == "/note/preempted";
    let is_preempted = is_resumable || request.path() == "/advice/preempted";
    let events = if is_preempted { EVENTS } else { OTHER_EVENTS };
    for event in last + 1..=events {
        let is_pause = event == FIRST_PAUSE || event == SECOND_PAUSE && is_resumable;
        if is_pause && is_preempted && event > last + 1 {
            record.line(&format!("server {name} preempts {id} before event {event}"));
            sleep(PAUSE);
            record.line(&format!("server {name} goes on with {id}"));
        }
        sleep(GAP);
        let mark = if event == events { " (last)" } else { "" };
        let text = format!("id: {event}\ndata: event {event} of {events}{mark}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Reads a stream; `Err` if it was not whole, with the silence before its end.
fn read_stream(front: SocketAddr, path: &str, id: &str) -> Result<(), String> {
    let mut heard_at = Instant::now();
    let mut read = || -> std::io::Result<bool> {
        let mut connection = Connection::open(front)?;
        connection.write(&request("POST", path, id, KEYS[0], 8_000, "which tin"))?;
        let head = read_head(&mut connection.reader)?;
        let mut text = Vec::new();
        while let Some(chunk) = read_chunk(&mut connection.reader)? {
            heard_at = Instant::now();
            text.extend(chunk);
        }
        Ok(head.status == 200 && text.ends_with(b" (last)\n\n"))
    };
    let outcome = read();
    let silent = heard_at.elapsed().as_millis();
    match outcome {
        Ok(true) => Ok(()),
        Ok(false) => Err("not the whole stream".into()),
        Err(error) => Err(format!("{error}, {silent} ms after the last event")),
    }
}

fn play(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let store = Store::start(host)?;
    configure(&store);
    let mut servers = Vec::new();
    for name in ["i-1", "i-2", "i-3"] {
        let lines = record.clone();
        let respond =
            move |request: &Request, stream: &mut TcpStream| answer(request, stream, name, &lines);
        let server = Server::start(name, host, record, Arc::new(respond))?;
        server.register(&store, "helper-llm", "brum");
        servers.push(server);
    }
    let gateway = start_gateway("edge-brum-1", "brum", store.address)?;
    if !wait_ready(gateway.ready) {
        return Ok(Verdict::NotRun("the gateway is not ready".into()));
    }
    let (front, start) = (gateway.front, Instant::now());
    let broken: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut running: Vec<JoinHandle<()>> = Vec::new();
    let mut send = |id: String, path: &'static str, at: Instant| {
        let (record, broken) = (record.clone(), Arc::clone(&broken));
        running.push(spawn(move || {
            sleep(at.saturating_duration_since(Instant::now()));
            match read_stream(front, path, &id) {
                Ok(()) => record.line(&format!("client: {id} got the whole stream")),
                Err(reason) => {
                    record.line(&format!("client: {id} was cut: {reason}"));
                    let mut broken = broken.lock().unwrap_or_else(PoisonError::into_inner);
                    broken.push((id, Instant::now()));
                }
            }
        }));
    };
    for number in 0..PREEMPTED {
        send(
            format!("preempted.{number}"),
            "/advice/preempted",
            start + SENT_AT,
        );
    }
    for number in 0..PREEMPTED_TWICE {
        send(
            format!("preempted-twice.{number}"),
            "/note/preempted",
            start + SENT_AT,
        );
    }
    let others = (OTHERS_UNTIL.as_millis() / OTHERS_INTERVAL.as_millis()) as u32;
    for number in 0..others {
        let at = start + OTHERS_INTERVAL * number;
        send(format!("other.{number}"), "/advice/other", at);
    }
    sleep((start + STOP_AT).saturating_duration_since(Instant::now()));
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("platform: SIGTERM");
        gateway.process.signal("TERM");
        if wait_until(GRACE, || gateway.process.has_ended()) {
            let after = stopped_at.elapsed().as_millis();
            record.line(&format!("the gateway has ended, {after} ms after SIGTERM"));
        } else {
            record.line("platform: SIGKILL");
            gateway.process.signal("KILL");
        }
    }
    for client in running {
        drop(client.join());
    }
    let runs: Vec<String> = servers
        .iter()
        .flat_map(Server::runs)
        .map(|run| run.id)
        .collect();
    let broken = broken.lock().unwrap_or_else(PoisonError::into_inner);
    // No server broke off, and none was still at work in the last sixth of the grace.
    let is_lost = |cut: &&(String, Instant)| {
        let after = cut.1.saturating_duration_since(stopped_at);
        runs.contains(&cut.0) && after < GRACE * 5 / 6
    };
    let lost = broken.iter().filter(is_lost).count();
    record.line(&format!(
        "{lost} streams passed on to sound servers were cut{}",
        if has_trouble {
            ": LOST"
        } else {
            ", with no planned work: not counted"
        }
    ));
    Ok(if has_trouble && lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
