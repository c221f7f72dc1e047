//! A gateway is stopped while a group has preempted its streams and all servers are full.
//!
//! There are two groups of two ranks, each with its agent, and one gateway. The servers are full with
//! requests of other gateways, as on a busy day, so that they reject what is new.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{Connection, HOST, KEYS, request, wait_ready};
use crate::group::{Disruption, Group};
use crate::http::{Request, read_chunk, read_head};
use crate::processes::{Process, free_port, start_gateway_with, wait_until};
use crate::record::Record;
use crate::servers::head;
use crate::store::Store;

/// Time that the platform leaves a process after SIGTERM, `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// Events of a stream, fewer than the sheet's largest, and the time between them.
const EVENTS: u32 = 50;
const GAP: Duration = Duration::from_millis(60);
/// Pause of a preempted stream. Clients wait for 2 s.
const PAUSE: Duration = Duration::from_millis(700);
/// How long the servers are full.
const FULL_TIME: Duration = Duration::from_millis(1_600);
/// One stream for each rank, the newest one there.
const STREAMS: u32 = 4;
/// Time after which gateways know the groups of targets.
const GROUPS_KNOWN_AFTER: Duration = Duration::from_secs(3);
/// When SIGTERM comes, after the first stream was sent, and when the servers are full.
const STOP_AT: Duration = Duration::from_millis(1_200);
const FULL_AT: Duration = Duration::from_millis(1_400);
const GROUPS: usize = 2;
const RANKS: usize = 2;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-note\",\"hostname\":\"{HOST}\",\"prefix\":\"/note/\",\
         \"route_kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,\"priority\":1,\
         \"service\":\"helper-llm\",\"attempts\":2,\"public\":false,\"sticky\":false,\
         \"resumable\":true,\"gap_aim_ms\":120}}],\
         \"services\":[{{\"name\":\"helper-llm\",\"health_path\":\"/healthz\",\"max_conns\":278,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":12,\
         \"kv_tokens\":372000,\"sets\":3,\"experts\":96,\"places\":60,\"spare\":4,\
         \"expert_mb\":780.0,\"link_mbps\":44000.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{}\"],\"priority\":1}}]}}",
        KEYS[0]
    )
}

fn stream(
    request: &Request,
    stream: &mut TcpStream,
    name: &str,
    is_full: &AtomicBool,
    is_paused: &AtomicBool,
    record: &Record,
) -> std::io::Result<()> {
    let id = request
        .header("x-amaranthgw-request-id")
        .unwrap_or_default();
    if is_full.load(Ordering::SeqCst) {
        record.line(&format!("server {name} is full, rejects {id}"));
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-amaranthgw-request-id: {id}\r\n\
             x-amaranthgw-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        return stream.write_all(text.as_bytes());
    }
    record.line(&format!("server {name} runs {id}"));
    let extra = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    stream.write_all(head(request, name, "200 OK", extra).as_bytes())?;
    let last = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let mut was_paused = false;
    for event in last + 1..=EVENTS {
        if is_paused.load(Ordering::SeqCst) && !was_paused {
            was_paused = true;
            record.line(&format!("server {name} preempts {id} before event {event}"));
            sleep(PAUSE);
            record.line(&format!("server {name} goes on with {id}"));
        }
        sleep(GAP);
        let mark = if event == EVENTS { " (last)" } else { "" };
        let text = format!("id: {event}\ndata: event {event}{mark}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

fn read_stream(front: SocketAddr, id: &str) -> Result<(), String> {
    let mut heard_at = Instant::now();
    let mut read = || -> std::io::Result<bool> {
        let mut connection = Connection::open(front)?;
        connection.write(&request(
            "POST",
            "/note/2f",
            id,
            KEYS[0],
            8_000,
            "which tin",
        ))?;
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
    let host = |last: usize| IpAddr::V4(Ipv4Addr::new(127, 0, 2, last as u8));
    let hosts: Vec<IpAddr> = (1..=GROUPS * RANKS).map(host).collect();
    let store = Store::start(hosts[0])?;
    store.put("op/config", &configuration());
    let is_full = Arc::new(AtomicBool::new(false));
    let mut paused = Vec::new();
    let mut addresses = Vec::new();
    for group in 0..GROUPS {
        let is_paused = Arc::new(AtomicBool::new(false));
        paused.push(Arc::clone(&is_paused));
        let mut ranks = Group::new(RANKS, 1, Disruption::default(), record);
        ranks.name = format!("g-{group}");
        let (full, lines) = (Arc::clone(&is_full), record.clone());
        ranks.fallback = Some(Arc::new(
            move |rank, request: &Request, open: &mut TcpStream| {
                stream(
                    request,
                    open,
                    &format!("i-{group}-{rank}"),
                    &full,
                    &is_paused,
                    &lines,
                )
            },
        ));
        addresses.push(ranks.start(&hosts[group * RANKS..(group + 1) * RANKS])?);
    }
    let (node, metrics) = (free_port(&hosts), free_port(&hosts));
    let (registered, to) = (addresses.clone(), store.clone());
    spawn(move || {
        for beat in 1_u64.. {
            for (group, ranks) in registered.iter().enumerate() {
                for (rank, address) in ranks.iter().enumerate() {
                    let entry = format!(
                        "{{\"service\":\"helper-llm\",\"address\":\"{address}\",\"zone\":\"brum\",\
                         \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\
                         \"stage\":\"mixed\",\"models\":[],\"seq\":{beat},\"born\":1764936000000}}"
                    );
                    to.put(&format!("servers/i-{group}-{rank}"), &entry);
                }
            }
            sleep(Duration::from_millis(1_200));
        }
    });
    for (group, ranks) in addresses.iter().enumerate() {
        for (rank, address) in ranks.iter().enumerate() {
            let name = format!("side-{group}-{rank}");
            let settings = format!(
                "{{\"vm\": \"{name}\", \"domain\": \"brum\", \"service\": \"helper-llm\", \
                 \"rank\": \"{address}\", \"node_listen\": \"{0}:{node}\", \
                 \"metrics_listen\": \"{0}:{metrics}\", \"store\": \"{1}\", \"grace\": \"8s\", \
                 \"fenced_orders\": true}}",
                address.ip(),
                store.address
            );
            Process::start("agent", &name, &settings)?;
        }
    }
    let gateway = start_gateway_with("edge-brum-1", "brum", store.address, Some(node))?;
    if !wait_ready(gateway.ready) {
        return Ok(Verdict::NotRun("the gateway is not ready".into()));
    }
    sleep(GROUPS_KNOWN_AFTER);
    let start = Instant::now();
    let front = gateway.front;
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut running = Vec::new();
    for number in 0..STREAMS {
        let (record, broken) = (record.clone(), Arc::clone(&broken));
        running.push(spawn(move || {
            sleep(Duration::from_millis(40) * number);
            let id = format!("note.{number}");
            match read_stream(front, &id) {
                Ok(()) => record.line(&format!("client: {id} got the whole stream")),
                Err(reason) => {
                    record.line(&format!("client: {id} was cut: {reason}"));
                    broken
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(id);
                }
            }
        }));
    }
    sleep((start + STOP_AT).saturating_duration_since(Instant::now()));
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("platform: SIGTERM");
        gateway.process.signal("TERM");
    }
    sleep((start + FULL_AT).saturating_duration_since(Instant::now()));
    record.line("all servers are full; group g-0 preempts its newest streams");
    is_full.store(true, Ordering::SeqCst);
    paused[0].store(true, Ordering::SeqCst);
    // Each stream looks at this before its next event.
    sleep(GAP * 2);
    paused[0].store(false, Ordering::SeqCst);
    sleep(FULL_TIME.saturating_sub(GAP * 2));
    is_full.store(false, Ordering::SeqCst);
    if has_trouble {
        let left = GRACE.saturating_sub(stopped_at.elapsed());
        let has_ended = wait_until(left, || gateway.process.has_ended());
        record.line(&format!(
            "the gateway has ended within the grace: {has_ended}"
        ));
    }
    for client in running {
        drop(client.join());
    }
    let lost = broken.lock().unwrap_or_else(PoisonError::into_inner).len();
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
