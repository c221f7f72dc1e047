//! Stand-in for an application server: runs requests, answers them with its stamp, and is registered
//! in the store.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::http::{Request, read_request, serve};
use crate::record::Record;
use crate::store::Store;

/// Interval between writes of the registry entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub key: Option<String>,
}

/// Writes the answer to a request; `Err` closes the connection.
pub type Answer = Arc<dyn Fn(&Request, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    pub fn start(
        name: &str,
        host: IpAddr,
        record: &Record,
        answer: Answer,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
        };
        let (served, record) = (server.clone(), record.clone());
        serve(listener, move |reader, _peer| {
            served.answer_all(reader, &record, &answer);
        });
        Ok(server)
    }

    /// Registers the server and beats until the process ends.
    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        let (server, store) = (self.clone(), store.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        std::thread::spawn(move || {
            for beat in 1_u64.. {
                let (name, address) = (&server.name, server.address);
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\
                     \"stage\":\"mixed\",\"models\":[],\"seq\":{beat},\"born\":1764936000000}}"
                );
                store.put(&format!("servers/{name}"), &entry);
                std::thread::sleep(BEAT);
            }
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn answer_all(&self, mut reader: BufReader<TcpStream>, record: &Record, answer: &Answer) {
        while let Ok(request) = read_request(&mut reader) {
            let id = request
                .header("x-amaranthgw-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("x-amaranthgw-expect-instance");
            if expected.is_some_and(|expected| expected != self.name) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-amaranthgw-request-id: {id}\r\n\
                     x-amaranthgw-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.name
                );
                drop(reader.get_mut().write_all(text.as_bytes()));
                continue;
            }
            let run = Run {
                id: id.clone(),
                tenant: request
                    .header("x-amaranthgw-tenant")
                    .unwrap_or_default()
                    .to_owned(),
                key: request.header("x-api-key").map(str::to_owned),
            };
            record.line(&format!(
                "server {} runs {id} ({}), tenant '{}'",
                self.name, request.target, run.tenant
            ));
            self.runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run);
            if answer(&request, reader.get_mut()).is_err() {
                record.line(&format!(
                    "server {}: the connection of {id} broke",
                    self.name
                ));
                return;
            }
        }
    }
}

/// Head of an answer with the server's headers and `extra` ones, up to the blank line.
pub fn head(request: &Request, stamp: &str, status: &str, extra: &str) -> String {
    let id = request
        .header("x-amaranthgw-request-id")
        .unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nx-amaranthgw-request-id: {id}\r\n\
         x-amaranthgw-server-stamp: {stamp}\r\nx-amaranthgw-server-load: 1,0,12\r\n{extra}\r\n"
    )
}

/// Writes an event stream of `events`, one in each `gap`.
pub fn write_stream(
    request: &Request,
    stream: &mut TcpStream,
    stamp: &str,
    events: u32,
    gap: Duration,
) -> std::io::Result<()> {
    let extra = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    stream.write_all(head(request, stamp, "200 OK", extra).as_bytes())?;
    let last = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    for event in last + 1..=events {
        std::thread::sleep(gap);
        let mark = if event == events { " (last)" } else { "" };
        let text = format!("id: {event}\ndata: event {event} of {events}{mark}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
