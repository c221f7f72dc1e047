//! A streaming request crashes each server that begins to run it, after the first event, and comes again.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateways::{Folder, Gateway, Place};
use crate::http::Client;
use crate::record::Record;
use crate::store::Store;
use crate::stream_server::{self, Occurrence, ServerLog, DEADLY};

/// Zones of the gateways, as on the sheet of tinshare-gw.
const GATEWAY_ZONES: [&str; 4] = ["brum", "brum", "notts", "leics"];
const SERVERS: usize = 12;
const TOUCH: Duration = Duration::from_millis(3_000);
/// Retries that may reach servers later than `TOUCH` after the third crash.
const ALLOWED: usize = 3;
/// Sound callers of each gateway.
const CALLERS: usize = 3;
/// Time between two comings of the deadly request.
const DEADLY_GAP: Duration = Duration::from_millis(2_500);
/// Time for which it comes again.
const PLAYED: Duration = Duration::from_secs(45);

/// A request of a client.
struct Sent {
    id: String,
    gateway: String,
    at: Instant,
    status: u16,
    is_whole: bool,
}

type SentLog = Arc<Mutex<Vec<Sent>>>;

fn config() -> &'static str {
    "{\"version\":3,\"routes\":[{\"name\":\"r-advice\",\"hostname\":\"ficu95.example\",\"prefix\":\"/lohu930/\",\
     \"route_kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,\"gap_aim_ms\":120,\"priority\":1,\
     \"service\":\"helper-llm\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":true}],\
     \"services\":[{\"name\":\"helper-llm\",\"health_path\":\"/healthz\",\"max_conns\":278,\"protocol\":\"h1\",\
     \"tls\":false,\"cold_s\":3.0,\"cold_per_s\":28.0}],\
     \"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k7qpwmxv450dehl8rtya\"]},\
     {\"name\":\"mopa114\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"]}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
     \"idle_timeout_ms\":15000}}"
}

/// Sends a streaming request with `key` and `body`; whether its answer was a whole stream.
fn ask(client: &mut Client, gateway: &str, id: String, key: &str, body: &str) -> Sent {
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Amaranthgw-Request-Id: {id}\r\n\
         X-Amaranthgw-Deadline-Ms: 8000\r\nX-Api-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let at = Instant::now();
    let answer = client.call(request.as_bytes());
    Sent {
        id,
        gateway: gateway.to_owned(),
        at,
        status: answer.as_ref().map_or(0, |answer| answer.status()),
        is_whole: answer.is_ok_and(|answer| answer.status() == 200),
    }
}

fn send_sound(gateway: String, front: SocketAddr, caller: usize, stopped: &AtomicBool, log: &SentLog) {
    let mut client = Client::new(front, Duration::from_secs(9));
    let mut number = 0;
    while !stopped.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("sound.{gateway}.{caller}.{number}");
        let body = format!("{{\"bake\":\"{id}\"}}");
        let sent = ask(&mut client, &gateway, id, "k7qpwmxv450dehl8rtya", &body);
        log.lock().expect("no holder panics").push(sent);
        thread::sleep(Duration::from_millis(50));
    }
}

fn is_ready(ready: SocketAddr) -> bool {
    let mut client = Client::new(ready, Duration::from_secs(1));
    let answer = client.call(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Plays the case; whether the rule held, `None` if it couldn't run.
pub fn play(root: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let folder = Folder::new("deadly-stream-case");
    let store = Store::start();
    let (ended, servers_log) = (Arc::new(AtomicBool::new(false)), ServerLog::default());
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| {
            let zone = GATEWAY_ZONES[1 + number % 3];
            stream_server::keep(&store, number, "helper-llm", zone, has_trouble, &ended, &servers_log)
        })
        .collect();
    store.write("op/config", config());
    let places: Vec<Place> = GATEWAY_ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| Place::new(number, zone))
        .collect();
    let seeds: Vec<SocketAddr> = places.iter().take(3).map(|place| place.control).collect();
    let mut gateways: Vec<Gateway> = places
        .iter()
        .map(|place| Gateway::start(root, &folder, place, store.address, &seeds))
        .collect();
    let began_at = Instant::now();
    let mut is_up = false;
    while !is_up && began_at.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(100));
        is_up = places.iter().all(|place| is_ready(place.ready));
    }
    // The gateways count each other, and are in touch.
    thread::sleep(Duration::from_secs(5));
    let (stopped, sent) = (Arc::new(AtomicBool::new(false)), SentLog::default());
    let callers: Vec<_> = gateways
        .iter()
        .flat_map(|gateway| (0..CALLERS).map(move |caller| (gateway, caller)))
        .map(|(gateway, caller)| {
            let (name, front) = (gateway.place.name.clone(), gateway.place.front);
            let (stopped, sent) = (Arc::clone(&stopped), Arc::clone(&sent));
            thread::spawn(move || send_sound(name, front, caller, &stopped, &sent))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let deadly_at = Instant::now();
    let mut deadly = Vec::new();
    for number in 0.. {
        let due_at = deadly_at + DEADLY_GAP * number;
        if due_at.saturating_duration_since(deadly_at) > PLAYED {
            break;
        }
        thread::sleep(due_at.saturating_duration_since(Instant::now()));
        let place = &places[number as usize % places.len()];
        let mut client = Client::new(place.front, Duration::from_secs(9));
        let body = format!("{{\"bake\":\"{DEADLY}\"}}");
        deadly.push(ask(
            &mut client,
            &place.name,
            format!("deadly.{number}"),
            "n2ctnfzs989anu6wsjnb",
            &body,
        ));
    }
    stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    let has_ended = gateways.iter_mut().any(Gateway::has_ended);
    ended.store(true, Ordering::SeqCst);
    for server in servers {
        server.join().expect("a server");
    }
    drop(gateways);
    if !is_up || has_ended {
        record.line("the gateways don't get ready, or one has ended by itself");
        return None;
    }
    let since = |at: Instant| at.saturating_duration_since(deadly_at).as_millis();
    let rows = servers_log.lock().expect("no holder panics");
    let of_deadly = |request: &str| request.starts_with("deadly.");
    for row in rows.iter() {
        match &row.what {
            Occurrence::Arrived { request } if of_deadly(request) => {
                record.line(&format!("{} ms {request} reaches {}", since(row.at), row.server));
            }
            Occurrence::Began { request } if of_deadly(request) => {
                record.line(&format!("{} ms {} wrote its first event of {request}", since(row.at), row.server));
            }
            Occurrence::Crashed if has_trouble && row.at >= deadly_at => {
                record.line(&format!("{} ms {} has crashed", since(row.at), row.server));
            }
            _ => {}
        }
    }
    for request in &deadly {
        let whole = if request.is_whole { "whole" } else { "not whole" };
        record.line(&format!(
            "{} ms {} was sent to {}: status {}, {whole}",
            since(request.at),
            request.id,
            request.gateway,
            request.status
        ));
    }
    let sent = sent.lock().expect("no holder panics");
    let (mut whole, mut refused, mut cut) = (0, 0, 0);
    for request in sent.iter() {
        match (request.is_whole, request.status) {
            (true, _) => whole += 1,
            (false, 0) => cut += 1,
            (false, _) => refused += 1,
        }
    }
    record.line(&format!(
        "sound requests beside it: {whole} whole, {refused} refused or failed, {cut} cut"
    ));
    let crashes = rows.iter().filter(|row| matches!(row.what, Occurrence::Crashed));
    let crashes: Vec<Instant> = crashes.map(|row| row.at).filter(|at| *at >= deadly_at).collect();
    let crashes = if has_trouble { crashes } else { Vec::new() };
    let Some(third_at) = crashes.get(2).copied() else {
        record.line(&format!("BUDGET: it crashed {} servers, less than three", crashes.len()));
        return Some(true);
    };
    let bound = third_at + TOUCH;
    let is_late = |row: &&stream_server::LogRow| {
        matches!(&row.what, Occurrence::Arrived { request } if of_deadly(request)) && row.at > bound
    };
    let late = rows.iter().filter(is_late).count();
    record.line(&format!(
        "BUDGET: it crashed {} servers, the third at {} ms; it reached servers {late} times later than {} ms, at most \
         {ALLOWED} are allowed",
        crashes.len(),
        since(third_at),
        since(bound)
    ));
    Some(late <= ALLOWED)
}
