//! The settings change to a `grace_s` with a fraction, and the machines are stopped and started in turn.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateways::Folder;
use crate::http::Client;
use crate::machines::Machine;
use crate::plain_server::{RunLog, Server};
use crate::record::Record;
use crate::store::Store;

/// Zones of the machines and of the servers, as on the sheet of tinshare-gw.
const GATEWAY_ZONES: [&str; 4] = ["brum", "brum", "notts", "leics"];
const SERVER_ZONES: [&str; 3] = ["brum", "notts", "leics"];
/// Time between the stops of two machines; each is up again long before it, as `grace_s` is 8 and its clients leave.
const ROLL_GAP: Duration = Duration::from_millis(5_000);
/// Time after the last stop.
const AFTER: Duration = Duration::from_secs(14);
/// Time before the end in which requests are counted.
const COUNTED: Duration = Duration::from_secs(8);
/// Ends by themselves from which a machine counts, and the share of the machines, two at least.
const OWN_ENDS: usize = 3;
const MACHINES: usize = 2;

struct Sent {
    at: Instant,
    status: u16,
}

fn config() -> &'static str {
    "{\"version\":3,\"routes\":[{\"name\":\"r-booking\",\"hostname\":\"ficu95.example\",\"prefix\":\"/puxa403/\",\
     \"route_kind\":\"non_idempotent\",\"timeout_ms\":1200,\"goal_ms\":150,\"priority\":2,\"service\":\"lending-desk\",\
     \"attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}],\
     \"services\":[{\"name\":\"lending-desk\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\
     \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}],\
     \"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k7qpwmxv450dehl8rtya\"]}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
     \"idle_timeout_ms\":15000}}"
}

/// Sends a request each 100 ms, each on a new connection, to the first of `fronts` that takes connections.
fn send_often(fronts: &[SocketAddr], stopped: &AtomicBool, log: &Mutex<Vec<Sent>>) {
    let mut number = 0;
    while !stopped.load(Ordering::SeqCst) {
        number += 1;
        let request = format!(
            "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Amaranthgw-Request-Id: booking.{number}\r\n\
             X-Amaranthgw-Deadline-Ms: 2500\r\nX-Api-Key: k7qpwmxv450dehl8rtya\r\nConnection: close\r\n\
             Content-Length: 2\r\n\r\n{{}}"
        );
        let at = Instant::now();
        let tries = (0..fronts.len()).map(|offset| fronts[(number + offset) % fronts.len()]);
        let answers = tries.filter_map(|front| {
            let answer = Client::new(front, Duration::from_secs(3)).call(request.as_bytes());
            answer.ok().map(|answer| answer.status())
        });
        let status = answers.into_iter().next().unwrap_or(0);
        log.lock().expect("no holder panics").push(Sent { at, status });
        thread::sleep(Duration::from_millis(100));
    }
}

fn is_ready(ready: SocketAddr) -> bool {
    let mut client = Client::new(ready, Duration::from_secs(1));
    let answer = client.call(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Looks after the machines for `time`.
fn wait(machines: &mut [Machine], time: Duration) {
    let ends_at = Instant::now() + time;
    while Instant::now() < ends_at {
        let now = Instant::now();
        machines.iter_mut().for_each(|machine| machine.look_after(now));
        thread::sleep(Duration::from_millis(20));
    }
}

/// Plays the case; whether the rule held, `None` if it couldn't run.
pub fn play(root: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let folder = Folder::new("fraction-case");
    let store = Store::start();
    let runs = RunLog::default();
    let servers: Vec<Server> = SERVER_ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| Server::start(&store, &format!("i-{number}"), "lending-desk", zone, &runs))
        .collect();
    servers.iter().for_each(Server::beat_on);
    store.write("op/config", config());
    let mut machines: Vec<Machine> = GATEWAY_ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| Machine::new(root, &folder, number, zone))
        .collect();
    let seeds: Vec<SocketAddr> = machines.iter().take(3).map(Machine::control).collect();
    for machine in &mut machines {
        machine.write_settings(store.address, &seeds, "8");
        machine.start();
    }
    let began_at = Instant::now();
    while !machines.iter().all(|machine| is_ready(machine.ready)) {
        if began_at.elapsed() > Duration::from_secs(20) {
            record.line("the gateways don't get ready");
            return None;
        }
        wait(&mut machines, Duration::from_millis(100));
    }
    let (stopped, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let caller = {
        let (stopped, sent) = (Arc::clone(&stopped), Arc::clone(&sent));
        thread::spawn(move || send_often(&fronts, &stopped, &sent))
    };
    wait(&mut machines, Duration::from_secs(4));
    let changed_at = Instant::now();
    let grace_s = if has_trouble { "8.5" } else { "9" };
    for machine in &machines {
        machine.write_settings(store.address, &seeds, grace_s);
    }
    // The share of `hup`; the others get no signal.
    machines[0].signal("HUP");
    wait(&mut machines, Duration::from_secs(4));
    for number in 0..machines.len() {
        machines[number].signal("TERM");
        let at = changed_at.elapsed().as_millis();
        record.line(&format!("{at} ms {} gets SIGTERM", machines[number].name));
        wait(&mut machines, ROLL_GAP);
    }
    wait(&mut machines, AFTER);
    let ended_at = Instant::now();
    stopped.store(true, Ordering::SeqCst);
    caller.join().expect("a caller");
    let is_up: Vec<bool> = machines.iter().map(|machine| is_ready(machine.ready)).collect();
    record.line(&format!("0 ms grace_s is {grace_s} in all settings, and {} gets SIGHUP", machines[0].name));
    for (machine, is_up) in machines.iter().zip(is_up) {
        record.line(&format!(
            "{}: its processes ended {} times by themselves; it is {} at the end; its last line: {}",
            machine.name,
            machine.own_ends.len(),
            if is_up { "ready" } else { "not ready" },
            machine.last_line()
        ));
    }
    let sent = sent.lock().expect("no holder panics");
    let late = sent.iter().filter(|request| request.at + COUNTED > ended_at);
    let late: Vec<&Sent> = late.collect();
    let served = late.iter().filter(|request| request.status == 200).count();
    record.line(&format!(
        "of {} requests that were sent in the last {} s, {served} were served",
        late.len(),
        COUNTED.as_secs()
    ));
    let ending = machines.iter().filter(|machine| machine.own_ends.len() >= OWN_ENDS).count();
    record.line(&format!(
        "Fault: on {ending} of {} machines processes ended {OWN_ENDS} times or more by themselves; {MACHINES} machines \
         are too many",
        machines.len()
    ));
    Some(ending < MACHINES && served > 0)
}
