//! Tests of the fault proxy.

use std::time::Duration;

use amaranthgw_standins::{ProxySettings, ProxyStandin, RunningStandin, Standin};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use crate::client::{TestClient, free_address};

const FAULTS: &str = "/admin/faults";

/// Time without bytes after which a connection counts as held.
const HOLD_OBSERVATION: Duration = Duration::from_millis(50);

/// A proxy in front of an echo server.
struct ProxiedEcho {
    running: RunningStandin,
}

impl ProxiedEcho {
    async fn new() -> Self {
        let listener = TcpListener::bind(free_address())
            .await
            .expect("a free port");
        let upstream = listener.local_addr().expect("address");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let (mut read, mut write) = stream.split();
                    tokio::io::copy(&mut read, &mut write).await
                });
            }
        });
        let settings = ProxySettings::new().with_upstream(Some(upstream));
        let running = ProxyStandin::new(settings).start(free_address());
        Self {
            running: running.expect("a free port"),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.running.address())
            .await
            .expect("connection")
    }

    async fn set_faults(&self, faults: Value) {
        let control = self.running.control_address().expect("control port");
        TestClient::new(control).control(FAULTS, faults).await;
    }
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    let mut back = [0; 4];
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut back).await?;
    Ok(back)
}

async fn assert_forwards(stream: &mut TcpStream) {
    assert_eq!(&echo(stream).await.expect("echo"), b"ping");
}

#[tokio::test]
async fn pass_both_ways() {
    let proxy = ProxiedEcho::new().await;
    let mut stream = proxy.connect().await;
    assert_forwards(&mut stream).await;
    stream.shutdown().await.expect("half closed");
    assert_eq!(stream.read(&mut [0; 4]).await.expect("end"), 0);
}

#[tokio::test]
async fn silence_open_connections() {
    let proxy = ProxiedEcho::new().await;
    let mut open = proxy.connect().await;
    assert_forwards(&mut open).await;
    proxy.set_faults(json!({ "mode": "silence" })).await;
    let mut later = proxy.connect().await;
    assert_forwards(&mut later).await;
    proxy.set_faults(json!({ "mode": "pass" })).await;
    let silent = timeout(HOLD_OBSERVATION, echo(&mut open)).await;
    silent.expect_err("neither an answer nor an end");
}

#[tokio::test]
async fn pass_with_delay() {
    let proxy = ProxiedEcho::new().await;
    proxy
        .set_faults(json!({ "mode": "pass", "delay_ms": 40 }))
        .await;
    let mut stream = proxy.connect().await;
    let sent_at = Instant::now();
    assert_forwards(&mut stream).await;
    assert!(sent_at.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn cut_closes_open_connections() {
    let proxy = ProxiedEcho::new().await;
    let mut stream = proxy.connect().await;
    for _ in 0..2 {
        assert_forwards(&mut stream).await;
        proxy.set_faults(json!({ "mode": "cut" })).await;
        echo(&mut stream).await.expect_err("a cut connection");
        stream = proxy.connect().await;
    }
    assert_forwards(&mut stream).await;
}

#[tokio::test]
async fn refuse_closes_new_connections() {
    let proxy = ProxiedEcho::new().await;
    let mut stream = proxy.connect().await;
    assert_forwards(&mut stream).await;
    proxy.set_faults(json!({ "mode": "refuse" })).await;
    echo(&mut stream).await.expect_err("a refused connection");
    echo(&mut proxy.connect().await)
        .await
        .expect_err("a refused connection");
    proxy.set_faults(json!({ "mode": "pass" })).await;
    assert_forwards(&mut proxy.connect().await).await;
}

#[tokio::test]
async fn hold_passes_nothing() {
    let proxy = ProxiedEcho::new().await;
    let mut open = proxy.connect().await;
    assert_forwards(&mut open).await;
    proxy.set_faults(json!({ "mode": "hold" })).await;
    let mut new = proxy.connect().await;
    for stream in [&mut open, &mut new] {
        stream.write_all(b"ping").await.expect("sent");
        timeout(HOLD_OBSERVATION, stream.read(&mut [0; 4]))
            .await
            .expect_err("held bytes");
    }
    proxy.set_faults(json!({ "mode": "pass" })).await;
    for stream in [&mut open, &mut new] {
        let mut back = [0; 4];
        stream.read_exact(&mut back).await.expect("passed on");
        assert_eq!(&back, b"ping");
    }
}
