//! A server leaves: it says so in its answers, and its entry is removed. A heartbeat that it sent some seconds before
//! and that the store left unanswered is executed after that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateways::{Folder, Gateway, Place};
use crate::http::Client;
use crate::plain_server::{Run, RunLog, Server};
use crate::record::Record;
use crate::registry::{self, LAPSE};
use crate::store::Store;

/// Zones of the gateways and of the servers, as on the sheet of tinshare-gw.
const GATEWAY_ZONES: [&str; 4] = ["brum", "brum", "notts", "leics"];
const SERVER_ZONES: [&str; 3] = ["brum", "notts", "leics"];
const DRAIN: Duration = Duration::from_millis(2_000);
/// Callers of each gateway.
const CALLERS: usize = 3;
/// Time from the sending of the unanswered heartbeat to its execution; the platform's are 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_900);
/// Time from that heartbeat until the server leaves: the store is stable again.
const LEAVES_AFTER: Duration = Duration::from_millis(3_300);
/// Time for which it goes on serving then.
const SERVES_ON: Duration = Duration::from_secs(10);

/// A request of a client.
struct Sent {
    id: String,
    gateway: String,
    at: Instant,
    answered_at: Instant,
    status: u16,
}

type SentLog = Arc<Mutex<Vec<Sent>>>;

fn config() -> &'static str {
    "{\"version\":3,\"routes\":[{\"name\":\"r-check\",\"hostname\":\"ficu95.example\",\"prefix\":\"/puxa403/\",\
     \"route_kind\":\"idempotent\",\"timeout_ms\":1200,\"goal_ms\":150,\"priority\":2,\"service\":\"lending-desk\",\
     \"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}],\
     \"services\":[{\"name\":\"lending-desk\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\
     \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}],\
     \"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k7qpwmxv450dehl8rtya\"]}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
     \"idle_timeout_ms\":15000}}"
}

fn send_often(gateway: String, front: SocketAddr, caller: usize, stopped: &AtomicBool, log: &SentLog) {
    let mut client = Client::new(front, Duration::from_secs(3));
    let mut number = 0;
    while !stopped.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{gateway}.{caller}.{number}");
        let request = format!(
            "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Amaranthgw-Request-Id: {id}\r\n\
             X-Amaranthgw-Deadline-Ms: 2500\r\nX-Api-Key: k7qpwmxv450dehl8rtya\r\n\r\n"
        );
        let at = Instant::now();
        let status = client.call(request.as_bytes()).map_or(0, |answer| answer.status());
        let sent = Sent {
            id,
            gateway: gateway.clone(),
            at,
            answered_at: Instant::now(),
            status,
        };
        log.lock().expect("no holder panics").push(sent);
        thread::sleep(Duration::from_millis(150));
    }
}

fn is_ready(ready: SocketAddr) -> bool {
    let mut client = Client::new(ready, Duration::from_secs(1));
    let answer = client.call(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Plays the case; whether the rule held, `None` if it couldn't run.
pub fn play(root: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let folder = Folder::new("leaving-case");
    let store = Store::start();
    let runs = RunLog::default();
    let servers: Vec<Server> = SERVER_ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| Server::start(&store, &format!("i-{number}"), "lending-desk", zone, &runs))
        .collect();
    let (leaver, others) = servers.split_first()?;
    others.iter().for_each(Server::beat_on);
    leaver.write(&leaver.next_entry());
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
        leaver.write(&leaver.next_entry());
        thread::sleep(Duration::from_millis(200));
        is_up = places.iter().all(|place| is_ready(place.ready));
    }
    let (stopped, sent) = (Arc::new(AtomicBool::new(false)), SentLog::default());
    let callers: Vec<_> = gateways
        .iter()
        .flat_map(|gateway| (0..CALLERS).map(move |caller| (gateway, caller)))
        .map(|(gateway, caller)| {
            let (name, front) = (gateway.place.name.clone(), gateway.place.front);
            let (stopped, sent) = (Arc::clone(&stopped), Arc::clone(&sent));
            thread::spawn(move || send_often(name, front, caller, &stopped, &sent))
        })
        .collect();
    // The gateways are in touch, and count each other.
    for _ in 0..6 {
        leaver.write(&leaver.next_entry());
        thread::sleep(registry::BEAT);
    }
    // The heartbeat that the store leaves unanswered; the next ones are executed at once.
    let beat_at = Instant::now();
    let entry = leaver.next_entry();
    let mut executed_at = beat_at;
    if !has_trouble {
        leaver.write(&entry);
    }
    for number in 1..=2 {
        thread::sleep((registry::BEAT * number).saturating_sub(beat_at.elapsed()));
        leaver.write(&leaver.next_entry());
    }
    thread::sleep(LEAVES_AFTER.saturating_sub(beat_at.elapsed()));
    let left_at = leaver.leave();
    if has_trouble {
        thread::sleep(LATE.saturating_sub(beat_at.elapsed()));
        executed_at = leaver.write(&entry);
        thread::sleep(LAPSE);
        registry::remove(&store, &registry::key(&leaver.id));
    }
    thread::sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
    stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    let has_ended = gateways.iter_mut().any(Gateway::has_ended);
    drop(gateways);
    servers.iter().for_each(Server::end);
    if !is_up || has_ended {
        record.line("the gateways don't get ready, or one has ended by itself");
        return None;
    }
    let since = |at: Instant| at.saturating_duration_since(left_at).as_millis();
    record.line(&format!(
        "{} says in all answers from 0 ms on that it leaves; its entry is removed at 0 ms; it serves on until {} ms",
        leaver.id,
        SERVES_ON.as_millis()
    ));
    record.line(&format!(
        "a heartbeat that it sent {} ms before, with two later ones since, is executed {}",
        left_at.saturating_duration_since(beat_at).as_millis(),
        if has_trouble {
            format!("at {} ms and not answered: the entry has the seq of then, and is ready", since(executed_at))
        } else {
            "at once".to_owned()
        }
    ));
    let runs = runs.lock().expect("no holder panics");
    let by_request: HashMap<&str, &Run> = runs
        .iter()
        .filter(|run| run.server == leaver.id)
        .map(|run| (run.request.as_str(), run))
        .collect();
    let sent = sent.lock().expect("no holder panics");
    let mut told_at: HashMap<&str, Instant> = HashMap::new();
    for request in sent.iter() {
        let says_leaving = by_request.get(request.id.as_str()).is_some_and(|run| run.says_leaving);
        if says_leaving && request.status == 200 {
            let at = told_at.entry(&request.gateway).or_insert(request.answered_at);
            *at = (*at).min(request.answered_at);
        }
    }
    for (gateway, at) in &told_at {
        record.line(&format!(
            "{gateway} has passed on an answer with Server-Leaving by {} ms",
            since(*at)
        ));
    }
    let (mut late, mut after_gone) = (0, 0);
    for request in sent.iter().filter(|request| request.at > left_at) {
        let Some(run) = by_request.get(request.id.as_str()) else {
            continue;
        };
        let told = told_at.get(request.gateway.as_str());
        let is_late = told.is_some_and(|at| request.at > *at + DRAIN);
        late += usize::from(is_late);
        let is_after_gone = run.at > left_at + DRAIN;
        after_gone += usize::from(is_after_gone);
        record.line(&format!(
            "{} ms {} is sent to {}, reaches {} at {} ms: status {}{}",
            since(request.at),
            request.id,
            request.gateway,
            run.server,
            since(run.at),
            request.status,
            if is_late || is_after_gone { ", too late" } else { "" }
        ));
    }
    record.line(&format!(
        "DRAIN: {late} requests that were sent later than {} ms after their machine had passed on an answer with \
         Server-Leaving reached {}",
        DRAIN.as_millis(),
        leaver.id
    ));
    record.line(&format!(
        "DRAIN: {after_gone} requests reached it later than {} ms after the store had acknowledged that it is gone",
        DRAIN.as_millis()
    ));
    Some(late + after_gone == 0)
}
