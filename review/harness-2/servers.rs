//! Servers of a plain service, as PROTOCOL tells them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::read_message;
use crate::store::Store;

/// Interval between the heartbeats of a server.
const BEAT: Duration = Duration::from_millis(1_200);

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub service: String,
    pub zone: String,
}

/// What all servers have run.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// A server, registered in the store until it is dropped.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

/// Starts a server of `service` in `zone`, which answers each request after `work`.
pub fn start(store: &Store, id: &str, service: &str, zone: &str, work: Duration, log: &RunLog) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let server = Server {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        address: listener.local_addr().expect("bound"),
        stopped: Arc::default(),
    };
    let (serving, log) = (server.clone(), Arc::clone(log));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (server, log) = (serving.clone(), Arc::clone(&log));
            thread::spawn(move || serve(&server, stream, work, &log));
        }
    });
    let (beating, store) = (server.clone(), store.clone());
    thread::spawn(move || {
        let mut seq = 0;
        while !beating.stopped.load(Ordering::SeqCst) {
            seq += 1;
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
                 \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq}}}",
                beating.service, beating.address, beating.zone
            );
            store.write(&format!("servers/{}", beating.id), &entry);
            thread::sleep(BEAT);
        }
    });
    server
}

fn serve(server: &Server, stream: TcpStream, work: Duration, log: &RunLog) {
    stream.set_nodelay(true).ok();
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut stream) {
        let id = request.header("x-amaranthgw-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-amaranthgw-expect-instance");
        let answer = if expected.is_some_and(|it| it != server.id) {
            format!("HTTP/1.1 421 X\r\nX-Amaranthgw-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else {
            log.lock().expect("no holder panics").push(Run {
                request: id.clone(),
                server: server.id.clone(),
                service: server.service.clone(),
                zone: server.zone.clone(),
            });
            thread::sleep(work);
            let body = format!("ran by {}\n", server.id);
            format!(
                "HTTP/1.1 200 OK\r\nX-Amaranthgw-Request-Id: {id}\r\nX-Amaranthgw-Server-Stamp: s.{}\r\n\
                 X-Amaranthgw-Server-Load: 1,0,6\r\nContent-Length: {}\r\nKeep-Alive: timeout=10\r\n\r\n{body}",
                server.id,
                body.len()
            )
        };
        if stream.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
