//! Targets, agents, peers and the store that answer with a status that HTTP doesn't have for an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranthgw_net::{DialSettings, NetError, PooledClient};
use amaranthgw_platform::store::{OPERATOR_PREFIX, PlatformStore, ReadFreshness};
use amaranthgw_standins::site::{SiteTarget, TargetBehaviour};
use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

use super::env::{ANY_PORT, TestSite, ample_retries, call, request};

/// Calls of each case: the odd target gets one of them at least.
const CALLS: usize = 60;
/// Time limit of a small call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A peer that answers each request with a status and keeps the connection.
struct OddPeer {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    /// Requests that were not the first of their connection.
    repeated: Arc<AtomicUsize>,
}

impl OddPeer {
    async fn start(status: &'static str, headers: &'static str, body: &'static str) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("binds");
        let length = body.len();
        let answer =
            format!("HTTP/1.1 {status} Odd\r\n{headers}content-length: {length}\r\n\r\n{body}");
        let peer = Self {
            address: listener.local_addr().expect("address"),
            requests: Arc::default(),
            repeated: Arc::default(),
        };
        let (requests, repeated) = (Arc::clone(&peer.requests), Arc::clone(&peer.repeated));
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let counts = [Arc::clone(&requests), Arc::clone(&repeated)];
                tokio::spawn(answer_all(stream, answer.clone(), counts));
            }
        });
        peer
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn answer_all(
    mut stream: TcpStream,
    answer: String,
    [requests, repeated]: [Arc<AtomicUsize>; 2],
) {
    for number in 0.. {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            head.push(byte);
        }
        requests.fetch_add(1, Ordering::SeqCst);
        repeated.fetch_add(usize::from(number > 0), Ordering::SeqCst);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

const SIGNED: &str = "x-amaranthgw-server-stamp: s\r\nx-amaranthgw-request-id: r-1\r\n";
const SIGNED_STREAM: &str = "x-amaranthgw-server-stamp: s\r\nx-amaranthgw-request-id: r-1\r\n\
    content-type: text/event-stream\r\n";
const SIGNED_NOT_RUN: &str = "x-amaranthgw-server-stamp: s\r\nx-amaranthgw-request-id: r-1\r\n\
    x-amaranthgw-not-executed: 1\r\n";

/// Sends calls to one odd target and two sound ones; returns the number of 502 and of requests at the odd one.
async fn call_beside_odd_target(
    method: &str,
    path: &str,
    odd: &OddPeer,
    others: TargetBehaviour,
) -> usize {
    let service = if path == "/draft/" { "draft" } else { "desk" };
    let mut site = TestSite::with_routes();
    for id in ["i-1", "i-2"] {
        site.add_target(id, service, others.clone());
    }
    let entry = SiteTarget::new("i-0", TargetBehaviour::Answer(200));
    let entry = entry.entry(service, odd.address, "domain-a");
    site.store.put("servers/i-0", &entry);
    let gateway = site.start_gateway_with(&ample_retries()).await;
    let mut unknown = 0;
    for _ in 0..CALLS {
        let answer = call(gateway.address(), request(method, path, "")).await;
        assert!(answer.is_whole, "{answer:?}");
        match answer.status {
            StatusCode::OK => {}
            StatusCode::BAD_GATEWAY => unknown += 1,
            status => panic!("{status}: {answer:?}"),
        }
    }
    unknown
}

// Guards against MIXED: a caller got the status 000, 101, 600 or the like as an answer.
#[parameterized(
    zeros = { "000" },
    below_all = { "099" },
    one_digit = { "0" },
    two_digits = { "20" },
    switching = { "101" },
    last_informational = { "199" },
    above_all = { "600" },
    highest = { "999" },
    four_digits = { "1000" },
    letters = { "abc" },
)]
#[test_macro(tokio::test)]
async fn run_call_odd_status(status: &'static str) {
    let plain = TargetBehaviour::Answer(200);
    let stream = TargetBehaviour::Stream {
        events: 3,
        gap: Duration::from_millis(1),
        breaks_in: 0,
    };
    let kinds = [
        ("GET", "/look/", SIGNED, &plain, true),
        ("POST", "/pay/", SIGNED, &plain, false),
        // The header proves nothing in a response that is no answer.
        ("POST", "/pay/", SIGNED_NOT_RUN, &plain, false),
        ("POST", "/draft/", SIGNED_STREAM, &stream, true),
    ];
    for (method, path, headers, others, may_repeat) in kinds {
        let odd = OddPeer::start(status, headers, "paid").await;
        let unknown = call_beside_odd_target(method, path, &odd, others.clone()).await;
        assert!(odd.requests() > 0, "{path}");
        let expected = if may_repeat { 0 } else { odd.requests() };
        assert_eq!(unknown, expected, "{path} {headers}");
        // The connection isn't used again.
        assert_eq!(odd.repeated.load(Ordering::SeqCst), 0, "{path}");
    }
}

// Guards against an odd status that counts as the answer of an agent, a peer or the store.
#[parameterized(
    zeros = { "000" },
    switching = { "101" },
    above_all = { "600" },
    highest = { "999" },
)]
#[test_macro(tokio::test)]
async fn call_odd_status(status: &'static str) {
    let odd = OddPeer::start(status, "", r#"{"entries":[],"as_of":1}"#).await;
    let client = PooledClient::new(odd.address, DialSettings::new(CALL_TIMEOUT));
    for method in [Method::GET, Method::POST] {
        let called = client.call(method, "/report", Bytes::new(), CALL_TIMEOUT);
        let error = called.await.expect_err("no answer");
        let is_odd = matches!(
            error,
            NetError::InvalidStatus { .. } | NetError::Broken { .. }
        );
        assert!(is_odd && !error.is_unsent(), "{error}");
    }
    let store = PlatformStore::new(odd.address);
    let listed = store.list(OPERATOR_PREFIX, ReadFreshness::Linearizable, CALL_TIMEOUT);
    listed.await.expect_err("no listing");
    assert_eq!(odd.repeated.load(Ordering::SeqCst), 0);
}

// Informational responses before the answer stay allowed.
#[parameterized(
    go_on = { "HTTP/1.1 100 Continue\r\n\r\n" },
    processing = { "HTTP/1.1 102 Processing\r\n\r\n" },
    early_hints = { "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn run_call_informational_before_answer(informational: &'static str) {
    let listener = TcpListener::bind(ANY_PORT).await.expect("binds");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let answer =
                format!("{informational}HTTP/1.1 200 OK\r\n{SIGNED}content-length: 4\r\n\r\npaid");
            tokio::spawn(answer_all(stream, answer, [Arc::default(), Arc::default()]));
        }
    });
    let site = TestSite::with_routes();
    let entry = SiteTarget::new("i-0", TargetBehaviour::Answer(200));
    site.store
        .put("servers/i-0", &entry.entry("desk", address, "domain-a"));
    let gateway = site.start_gateway().await;
    let answer = call(gateway.address(), request("POST", "/pay/", "")).await;
    assert_eq!(
        (answer.status, answer.text()),
        (StatusCode::OK, "paid".to_owned())
    );
}
