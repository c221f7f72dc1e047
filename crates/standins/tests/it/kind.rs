//! Tests of creating and running stand-ins by kind, and of the announced addresses.

use std::time::Duration;

use amaranthgw_standins::{StandinError, StandinKind, run_standin};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client::free_address;

#[tokio::test]
async fn standin_of_each_kind() {
    for kind in StandinKind::ALL {
        assert_eq!(kind.to_string().parse::<StandinKind>().expect("kind"), kind);
        let settings = match kind {
            StandinKind::Proxy => r#"{"upstream":"127.0.0.1:9"}"#,
            _ => "{}",
        };
        let standin = kind.standin(settings).expect("settings");
        let running = standin.start(free_address()).expect("a free port");
        let mut connection = TcpStream::connect(running.address())
            .await
            .expect("connection");
        running.stop().await;
        let end = connection.read(&mut [0]).await;
        assert!(matches!(end, Ok(0) | Err(_)), "{kind} still serves");
    }
}

#[tokio::test]
async fn run_standin_until_stopped() {
    let running = run_standin(StandinKind::Store, free_address(), "{}");
    timeout(Duration::from_millis(20), running)
        .await
        .expect_err("still running");
}

#[tokio::test]
async fn run_standin_address_in_use() {
    let standin = StandinKind::Store.standin("{}").expect("settings");
    let running = standin.start(free_address()).expect("a free port");
    let failed = run_standin(StandinKind::Store, running.address(), "{}").await;
    assert!(matches!(failed, Err(StandinError::Listen { .. })));
}

#[yare::parameterized(
    standin_unknown_field = { StandinKind::Engine, r#"{"warm":1}"#, "unknown field" },
    standin_wrong_type = { StandinKind::Weights, r#"{"rate":5}"#, "invalid type" },
    standin_no_object = { StandinKind::Store, "", "EOF" },
)]
fn standin(kind: StandinKind, settings: &str, reason: &str) {
    let error = kind.standin(settings).expect_err("malformed settings");
    let source = std::error::Error::source(&error)
        .expect("source")
        .to_string();
    assert!(source.contains(reason), "{source}");
}

#[yare::parameterized(
    start_without_upstream = { StandinKind::Proxy, "{}" },
    start_without_ranks = { StandinKind::Group, r#"{"ranks":0}"# },
    start_without_model = { StandinKind::Group, r#"{"weights":"127.0.0.1:9"}"# },
)]
#[test_macro(tokio::test)]
async fn start(kind: StandinKind, settings: &str) {
    let standin = kind.standin(settings).expect("settings");
    standin
        .start(free_address())
        .expect_err("incomplete settings");
}

#[test]
fn kind_unknown() {
    "etcd".parse::<StandinKind>().expect_err("no such kind");
}

#[yare::parameterized(
    announce_one_port = { StandinKind::Store, "{}", &["listening"] },
    announce_each_rank = { StandinKind::Group, r#"{"ranks":2}"#, &["listening", "listening"] },
    announce_control = {
        StandinKind::Proxy, r#"{"upstream":"127.0.0.1:9"}"#, &["listening", "control"]
    },
)]
#[test_macro(tokio::test)]
async fn announce(kind: StandinKind, settings: &str, names: &[&str]) {
    let running = kind
        .standin(settings)
        .expect("settings")
        .start(free_address());
    let running = running.expect("a free port");
    let mut out = Vec::new();
    running.announce(&mut out).expect("written");
    let addresses = running
        .addresses()
        .iter()
        .copied()
        .chain(running.control_address());
    let lines = names.iter().zip(addresses);
    let lines = lines.map(|(name, address)| format!("{name} {address}\n"));
    assert_eq!(
        String::from_utf8(out).expect("text"),
        lines.collect::<String>()
    );
}
