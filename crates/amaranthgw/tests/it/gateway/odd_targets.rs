//! Targets that send more than they are asked for, or answer a resumed stream with something else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranthgw_standins::site::{SiteTarget, TargetBehaviour};
use http::StatusCode;
use http::header::HeaderValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use yare::parameterized;

use super::env::{ANY_PORT, TestSite, ample_retries, call, request};

/// A target that writes raw bytes: `respond` gets the numbers of the connection and of the request on
/// it, from 0, and returns the bytes of the answer, after which the connection closes if they are empty.
struct RawTarget {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl RawTarget {
    async fn start(respond: impl Fn(usize, usize) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("binds");
        let address = listener.local_addr().expect("address");
        let (requests, respond) = (Arc::new(AtomicUsize::new(0)), Arc::new(respond));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((stream, _peer)) = listener.accept().await {
                let (respond, counter) = (Arc::clone(&respond), Arc::clone(&counter));
                tokio::spawn(answer_requests(stream, counter, move |request| {
                    respond(number, request)
                }));
                number += 1;
            }
        });
        Self { address, requests }
    }

    fn register(&self, site: &TestSite, id: &str, service: &str) {
        let target = SiteTarget::new(id, TargetBehaviour::Answer(200));
        let entry = target.entry(service, self.address, "domain-a");
        site.store.put(&format!("servers/{id}"), &entry);
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn answer_requests(
    mut stream: TcpStream,
    counter: Arc<AtomicUsize>,
    respond: impl Fn(usize) -> Vec<u8>,
) {
    for number in 0.. {
        let mut head = Vec::new();
        while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            head.push(byte);
        }
        counter.fetch_add(1, Ordering::SeqCst);
        let answer = respond(number);
        if answer.is_empty() || stream.write_all(&answer).await.is_err() {
            return;
        }
        // An answer without a length ends with its connection.
        if !answer.windows(14).any(|bytes| bytes == b"content-length") {
            return;
        }
    }
}

/// An answer with the headers of a target, to the request `id` unless that is empty.
fn answer(status: &str, id: &str, extra: &str, body: &str) -> Vec<u8> {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("x-amaranthgw-request-id: {id}\r\n")
    };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\nx-amaranthgw-server-stamp: s\r\n{id}{extra}content-length: {length}\r\n\r\n{body}"
    );
    text.into_bytes()
}

const NOT_RUN: &str = "x-amaranthgw-not-executed: 1\r\n";

// Guards against REFUSED and TWICE: a target wrote an earlier refusal once more, and a request that it
// was running counted as not run.
#[tokio::test]
async fn run_call_refusal_written_again() {
    let site = TestSite::with_routes();
    let target = RawTarget::start(|connection, number| match (connection, number) {
        // Refused; the same refusal comes once more where the next answer is due.
        (0, _) => answer("503 Service Unavailable", "r-1", NOT_RUN, ""),
        _ => answer("200 OK", "r-1", "", "paid"),
    })
    .await;
    target.register(&site, "i-1", "desk");
    let gateway = site.start_gateway_with(&ample_retries()).await;
    let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(target.requests(), 2);
}

// The same with a refusal that names no request, after an answer to another one.
#[tokio::test]
async fn run_call_unnamed_refusal_on_kept_connection() {
    let site = TestSite::with_routes();
    let target = RawTarget::start(|_connection, number| match number {
        0 => answer("200 OK", "r-1", "", "paid"),
        _ => answer("503 Service Unavailable", "", NOT_RUN, ""),
    })
    .await;
    target.register(&site, "i-1", "desk");
    let gateway = site.start_gateway().await;
    let first = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    assert_eq!(first.status, StatusCode::OK);
    let mut second = request("POST", "/pay/", "deposit");
    let id = HeaderValue::from_static("r-2");
    second.headers_mut().insert("x-amaranthgw-request-id", id);
    let answer = call(gateway.address(), second).await;
    // The target may be running it.
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(target.requests(), 2);
}

// Guards against MIXED and ORDER: what another target answered instead of the rest of a stream.
#[parameterized(
    error = { answer("500 Internal Server Error", "r-1", "", "out of memory") },
    error_as_stream = { answer("500 Internal Server Error", "r-1", STREAM, "data: error\n\n") },
    plain_text = { answer("200 OK", "r-1", "content-type: text/plain\r\n", "hello") },
    empty = { answer("204 No Content", "r-1", STREAM, "") },
    refusal = { answer("503 Service Unavailable", "r-1", NOT_RUN, "full") },
    other_request = { answer("200 OK", "r-0", STREAM, "id: 9\ndata: other\n\n") },
    no_http = { b"500 out of memory\r\n\r\n".to_vec() },
)]
#[test_macro(tokio::test)]
async fn stream_response_resumed_with_other_answer(other: Vec<u8>) {
    let site = TestSite::with_routes();
    // The first request gets a stream that breaks off, all others the other answer.
    let count = AtomicUsize::new(0);
    let respond = move |_connection, _number| match count.fetch_add(1, Ordering::SeqCst) {
        0 => b"HTTP/1.1 200 OK\r\nx-amaranthgw-server-stamp: s\r\n\
            x-amaranthgw-request-id: r-1\r\ncontent-type: text/event-stream\r\n\
            content-length: 900\r\nconnection: close\r\n\r\n\
            id: 1\ndata: one\n\nid: 2\nda"
            .to_vec(),
        _ => other.clone(),
    };
    let respond = Arc::new(respond);
    for id in ["i-1", "i-2"] {
        let respond = Arc::clone(&respond);
        let target = RawTarget::start(move |connection, number| {
            if number > 0 {
                return Vec::new();
            }
            respond(connection, number)
        })
        .await;
        target.register(&site, id, "draft");
    }
    let gateway = site.start_gateway().await;
    let sending = call(gateway.address(), request("POST", "/draft/", ""));
    let limit = Duration::from_secs(5);
    let answer = tokio::time::timeout(limit, sending).await.expect("ends");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), "id: 1\ndata: one\n\n");
    assert!(!answer.is_whole);
}

const STREAM: &str = "content-type: text/event-stream\r\n";

// Guards against LOST: a time beyond all sense ended the task that served the caller.
#[parameterized(
    largest = { "18446744073709551615" },
    beyond = { "99999999999999999999999999" },
    negative = { "-5" },
)]
#[test_macro(tokio::test)]
async fn run_call_keep_alive_without_sense(seconds: &str) {
    let site = TestSite::with_routes();
    let header = format!("keep-alive: timeout={seconds}\r\n");
    let target =
        RawTarget::start(move |_connection, _number| answer("200 OK", "r-1", &header, "paid"))
            .await;
    target.register(&site, "i-1", "desk");
    let gateway = site.start_gateway().await;
    for _ in 0..3 {
        let answer = call(gateway.address(), request("POST", "/pay/", "")).await;
        assert_eq!(answer.status, StatusCode::OK);
        sleep(Duration::from_millis(10)).await;
    }
}

/// An answer that ends with its connection.
fn endless(content: &str, body: &str) -> Vec<u8> {
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-amaranthgw-server-stamp: s\r\nx-amaranthgw-request-id: r-1\r\n{content}\r\n{body}"
    );
    text.into_bytes()
}

#[parameterized(
    plain = { "/pay/", "desk", "", "paid" },
    stream = { "/draft/", "draft", STREAM, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n" },
)]
#[test_macro(tokio::test)]
async fn run_call_answer_ends_with_connection(
    path: &str,
    service: &str,
    content: &'static str,
    body: &'static str,
) {
    let site = TestSite::with_routes();
    let target = RawTarget::start(move |_connection, _number| endless(content, body)).await;
    target.register(&site, "i-1", service);
    let gateway = site.start_gateway().await;
    for _ in 0..3 {
        let answer = call(gateway.address(), request("POST", path, "")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_whole);
        assert_eq!(answer.text(), body);
    }
}

// A stream that ends with its connection inside an event was broken off, and goes on elsewhere.
#[tokio::test]
async fn stream_response_ends_with_connection_in_event() {
    let site = TestSite::with_routes();
    let count = Arc::new(AtomicUsize::new(0));
    for id in ["i-1", "i-2"] {
        let count = Arc::clone(&count);
        let target = RawTarget::start(move |_connection, _number| {
            match count.fetch_add(1, Ordering::SeqCst) {
                0 => endless(STREAM, "id: 1\ndata: one\n\nid: 2\nda"),
                _ => endless(STREAM, "id: 2\ndata: two\n\n"),
            }
        })
        .await;
        target.register(&site, id, "draft");
    }
    let gateway = site.start_gateway_with(&ample_retries()).await;
    let answer = call(gateway.address(), request("POST", "/draft/", "")).await;
    assert!(answer.is_whole);
    assert_eq!(answer.text(), "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
}
