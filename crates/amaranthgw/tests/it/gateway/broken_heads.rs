//! Targets that close their connection within an answer, at each of its bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranthgw_net::{DialSettings, dial};
use amaranthgw_standins::site::{SiteTarget, TargetBehaviour};
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

use super::env::{ANY_PORT, TestSite, call, request};
use crate::env::eventually;

/// A target that writes the first `length` bytes of an answer to each request, and closes.
#[derive(Clone, Debug)]
struct CutTarget {
    address: SocketAddr,
    length: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl CutTarget {
    async fn start(answer: &'static [u8]) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("binds");
        let target = Self {
            address: listener.local_addr().expect("address"),
            length: Arc::default(),
            requests: Arc::default(),
        };
        let serving = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream, answer));
            }
        });
        target
    }

    async fn serve(self, mut stream: TcpStream, answer: &'static [u8]) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            head.push(byte);
        }
        self.requests.fetch_add(1, Ordering::SeqCst);
        let length = self.length.load(Ordering::SeqCst);
        // The gateway may have closed the connection already.
        drop(stream.write_all(&answer[..length]).await);
        drop(stream.shutdown().await);
    }
}

const LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nx-amaranthgw-server-stamp: s\r\n\
    x-amaranthgw-request-id: r-1\r\ncontent-length: 4\r\n\r\npaid";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nx-amaranthgw-server-stamp: s\r\n\
    x-amaranthgw-request-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n";
/// An answer without a length, which ends with its connection: it can be cut in its head only.
const UNFRAMED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-amaranthgw-server-stamp: s\r\n\
    x-amaranthgw-request-id: r-1\r\nconnection: close\r\n\r\n";
const OLD_HEAD: &[u8] = b"HTTP/1.0 200 OK\r\nx-amaranthgw-server-stamp: s\r\n\
    x-amaranthgw-request-id: r-1\r\n\r\n";

// Guards against MIXED and ORDER: a cut answer reached the caller as a whole one.
#[parameterized(
    length = { LENGTH },
    chunked = { CHUNKED },
    unframed = { UNFRAMED_HEAD },
    old = { OLD_HEAD },
)]
#[test_macro(tokio::test)]
async fn run_call_answer_cut_at_each_byte(answer: &'static [u8]) {
    let target = CutTarget::start(answer).await;
    let site = TestSite::with_routes();
    let entry = SiteTarget::new("i-1", TargetBehaviour::Answer(200));
    let entry = entry.entry("desk", target.address, "domain-a");
    site.store.put("servers/i-1", &entry);
    let gateway = site.start_gateway().await;
    for length in 0..answer.len() {
        target.length.store(length, Ordering::SeqCst);
        let before = target.requests.load(Ordering::SeqCst);
        // A target that fails often gets a pause.
        let reached = || async {
            let got = call(gateway.address(), request("POST", "/pay/", "")).await;
            let is_success = got.is_whole && got.status.is_success();
            assert!(!is_success, "{length} bytes: {got:?}");
            (target.requests.load(Ordering::SeqCst) > before).then_some(got)
        };
        let got = eventually("a request at the target", reached).await;
        // It may have run, so the answer must not say that it has not.
        assert_ne!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    }
}

// A stream that is cut within its head is taken up by another target, or ends visibly.
#[tokio::test]
async fn stream_response_head_cut_at_each_byte() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-amaranthgw-server-stamp: s\r\n\
        x-amaranthgw-request-id: r-1\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let target = CutTarget::start(HEAD).await;
    let site = TestSite::with_routes();
    let entry = SiteTarget::new("i-1", TargetBehaviour::Answer(200));
    let entry = entry.entry("draft", target.address, "domain-a");
    site.store.put("servers/i-1", &entry);
    let gateway = site.start_gateway().await;
    for length in (0..HEAD.len()).step_by(7).chain([HEAD.len()]) {
        target.length.store(length, Ordering::SeqCst);
        let settings = DialSettings::new(Duration::from_secs(5));
        let connection = dial(gateway.address(), settings).await;
        let mut connection = connection.expect("connects");
        let sent = connection.send(request("POST", "/draft/", ""));
        // A connection that closes without an answer is a visible end, too.
        if let Ok(response) = sent.await {
            let is_success = response.status().is_success();
            let body = response.into_body().collect().await;
            assert!(!(is_success && body.is_ok()), "{length} bytes: {body:?}");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
