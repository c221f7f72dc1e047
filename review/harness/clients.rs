//! Clients, and the configuration that operators write for them.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_answer_body, read_head};
use crate::processes::wait_until;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// The keys of the one tenant, as in the example of the pages.
pub const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];
/// The tenant that holds them.
pub const TENANT: &str = "hule930";

/// A configuration with two routes for streams, one of which may be resumed, and two for the desk
/// service.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, kind: &str, service: &str, timeout: u32, attempts: u32| {
        let is_resumable = name == "note";
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout},\"goal_ms\":400,\"priority\":1,\
             \"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":{is_resumable},\"gap_aim_ms\":120}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":278,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[{}],\"priority\":1}}]}}",
        route("advice", "streaming", "helper-llm", 8_000, 2),
        route("note", "streaming", "helper-llm", 8_000, 2),
        route("booking", "non_idempotent", "lending-desk", 1_200, 1),
        route("shelf", "idempotent", "lending-desk", 1_200, 2),
        service("helper-llm"),
        service("lending-desk"),
        keys.join(",")
    )
}

/// Text of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u32,
    body: &str,
) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Amaranthgw-Request-Id: {id}\r\n\
         X-Amaranthgw-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A connection of a client.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

/// An answer, read to its end.
pub struct Answer {
    pub head: Head,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    pub fn read(&mut self) -> io::Result<Answer> {
        let head = read_head(&mut self.reader)?;
        read_answer_body(&mut self.reader, &head)?;
        Ok(Answer { head })
    }

    pub fn call(&mut self, text: &str) -> io::Result<Answer> {
        self.write(text)?;
        self.read()
    }
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, text: &str) -> io::Result<Answer> {
    Connection::open(address)?.call(text)
}

/// Waits until the gateway with the address `ready` says that it takes requests.
pub fn wait_ready(ready: SocketAddr) -> bool {
    let question = "GET /readyz HTTP/1.1\r\nHost: ready\r\nContent-Length: 0\r\n\r\n";
    wait_until(Duration::from_secs(10), || {
        call(ready, question).is_ok_and(|answer| answer.head.status == 200)
    })
}

/// Writes the first configuration.
pub fn configure(store: &Store) {
    store.put("op/config", &configuration(7, &KEYS));
}
