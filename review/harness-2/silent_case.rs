//! All open connections to the store go silent, while new ones work; the configuration changes then.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateways::{Folder, Gateway, Place};
use crate::http::Client;
use crate::record::Record;
use crate::servers::{self, Run, RunLog};
use crate::store::Store;

const ZONES: [&str; 3] = ["brum", "notts", "leics"];
/// Key that version 3 takes away.
const REVOKED: &str = "n2ctnfzs989anu6wsjnb";
/// Key that stays.
const KEPT: &str = "k7qpwmxv450dehl8rtya";

/// Figures of a deployment's sheet.
pub struct Sheet {
    pub gateways: usize,
    pub touch: Duration,
    pub config: Duration,
    pub evacuation: Duration,
    /// Time from the silence until the clients stop.
    pub watched: Duration,
}

/// A request of a client.
struct Sent {
    id: String,
    key: &'static str,
    gateway: String,
    at: Instant,
    status: u16,
}

fn config(version: u64, timeout: u64, service: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-booking\",\"hostname\":\"ficu95.example\",\
         \"prefix\":\"/puxa403/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":{timeout},\"goal_ms\":150,\
         \"priority\":0,\"service\":\"{service}\",\"attempts\":1,\"public\":false,\"sticky\":false,\
         \"resumable\":false}}],\"services\":[{}],\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}]}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":15000}}}}",
        ["desk-a", "desk-b"]
            .map(|name| format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\
                 \"tls\":false,\"cold_s\":3.0,\"cold_per_s\":28.0}}"
            ))
            .join(","),
        keys.join(",")
    )
}

/// Sends a request with each key in turn until `stopped`.
fn send_often(gateway: String, front: SocketAddr, stopped: &AtomicBool, log: &Mutex<Vec<Sent>>) {
    let mut client = Client::new(front, Duration::from_secs(3));
    let mut number = 0;
    while !stopped.load(Ordering::SeqCst) {
        number += 1;
        let key = if number % 2 == 0 { REVOKED } else { KEPT };
        let id = format!("{gateway}.{number}");
        let request = format!(
            "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Amaranthgw-Request-Id: {id}\r\n\
             X-Amaranthgw-Deadline-Ms: 2500\r\nX-Api-Key: {key}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let at = Instant::now();
        let status = client.call(request.as_bytes()).map_or(0, |answer| answer.status());
        let sent = Sent {
            id,
            key,
            gateway: gateway.clone(),
            at,
            status,
        };
        log.lock().expect("no holder panics").push(sent);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Whether the gateway at `ready` says that it is ready.
fn is_ready(ready: SocketAddr) -> bool {
    let mut client = Client::new(ready, Duration::from_secs(1));
    let answer = client.call(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Plays the case on a deployment; whether the rule held, `None` if it couldn't run.
pub fn play(root: &Path, sheet: &Sheet, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let folder = Folder::new("silent-case");
    let store = Store::start();
    let runs: RunLog = Arc::default();
    for (number, zone) in ZONES.iter().enumerate() {
        for service in ["desk-a", "desk-b"] {
            let id = format!("i-{service}-{number}");
            servers::start(&store, &id, service, zone, Duration::from_millis(5), &runs);
        }
    }
    store.write("op/config", &config(1, 1_200, "desk-a", &[REVOKED, KEPT]));
    let places: Vec<Place> = (0..sheet.gateways)
        .map(|number| Place::new(number, ZONES[number % ZONES.len()]))
        .collect();
    let seeds: Vec<SocketAddr> = places.iter().take(3).map(|place| place.control).collect();
    let mut gateways: Vec<Gateway> = places
        .iter()
        .map(|place| Gateway::start(root, &folder, place, store.address, &seeds))
        .collect();
    let began_at = Instant::now();
    while !places.iter().all(|place| is_ready(place.ready)) {
        if began_at.elapsed() > Duration::from_secs(20) {
            record.line("the gateways don't get ready");
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    // The gateways count each other; watches that began before that end.
    thread::sleep(Duration::from_millis(if sheet.gateways > 12 { 16_000 } else { 5_000 }));
    record.line(&format!(
        "{} gateways are ready; {} are registered in the store",
        sheet.gateways,
        store.count("amaranthgw/gateways/")
    ));
    let (stopped, sent) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let callers: Vec<_> = gateways
        .iter()
        .take(6)
        .map(|gateway| {
            let (name, front) = (gateway.place.name.clone(), gateway.place.front);
            let (stopped, sent) = (Arc::clone(&stopped), Arc::clone(&sent));
            thread::spawn(move || send_often(name, front, &stopped, &sent))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    // A first change, which all watches return.
    let second_at = store.write("op/config", &config(5, 1_100, "desk-a", &[REVOKED, KEPT]));
    thread::sleep(Duration::from_millis(100));
    let silent_at = Instant::now();
    if has_trouble {
        store.silence();
    }
    thread::sleep(Duration::from_millis(200));
    let third_at = store.write("op/config", &config(9, 1_100, "desk-b", &[KEPT]));
    let evacuated_at = store.write("op/evacuate/brum", "{}");
    thread::sleep(sheet.watched);
    stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.line("a gateway has ended by itself");
        return None;
    }
    drop(gateways);
    let since = |at: Instant| at.saturating_duration_since(silent_at).as_millis();
    let before = |at: Instant| silent_at.saturating_duration_since(at).as_millis();
    record.line(&format!("version 5 is acknowledged {} ms before the silence", before(second_at)));
    record.line(if has_trouble {
        "all open connections to the store go silent at 0 ms; new ones work"
    } else {
        "no trouble: the connections to the store go on beyond 0 ms"
    });
    record.line(&format!(
        "version 9 is acknowledged at {} ms: key {REVOKED} is gone, the route leads to desk-b",
        since(third_at)
    ));
    record.line(&format!("the evacuation of brum is acknowledged at {} ms", since(evacuated_at)));
    let in_touch_from = silent_at + sheet.touch;
    let bound = in_touch_from.max(third_at + sheet.config);
    record.line(&format!("machines are in touch again, and version 9 binds, from {} ms on", since(bound)));
    let runs = runs.lock().expect("no holder panics");
    let by_request: HashMap<&str, &Run> = runs.iter().map(|run| (run.request.as_str(), run)).collect();
    let sent = sent.lock().expect("no holder panics");
    let (mut of_key, mut of_route, mut of_zone, mut asked, mut last) = (0, 0, 0, 0, None);
    for request in sent.iter().filter(|request| request.at > silent_at) {
        let run = by_request.get(request.id.as_str());
        let server = run.map_or("-", |run| run.server.as_str());
        record.line(&format!(
            "{} ms {} key {} to {}: status {}, run by {server}",
            since(request.at),
            request.id,
            if request.key == REVOKED { "revoked" } else { "kept" },
            request.gateway,
            request.status
        ));
        if request.at <= bound {
            continue;
        }
        asked += 1;
        let is_late = request.at > evacuated_at + sheet.evacuation;
        of_zone += usize::from(is_late && run.is_some_and(|run| run.zone == ZONES[0]));
        let is_of_key = request.key == REVOKED && run.is_some();
        let is_of_route = run.is_some_and(|run| run.service == "desk-a");
        of_key += usize::from(is_of_key);
        of_route += usize::from(is_of_route && !is_of_key);
        if is_of_key || is_of_route {
            last = Some(since(request.at));
        }
    }
    record.line(&format!(
        "CONFIG: of {asked} requests sent after {} ms, {of_key} ran with the key that was taken away, and {of_route} \
         more by the service that the route had left; the last was sent at {} ms",
        since(bound),
        last.map_or("-".to_owned(), |at| at.to_string())
    ));
    record.line(&format!(
        "EVAC: {of_zone} requests sent later than {} ms after the evacuation reached a server in brum",
        sheet.evacuation.as_millis()
    ));
    Some(of_key + of_route == 0)
}
