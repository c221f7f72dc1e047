//! A gateway that runs out of file descriptors must serve again once some are free.

use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use amaranthgw_standins::ReservedPort;
use amaranthgw_standins::site::TargetBehaviour;
use serde_json::json;

use super::env::{ANY_PORT, TestSite, is_ready};
use crate::env::eventually;

/// Limit of open descriptors of the gateway: more than the about twenty that it needs when idle,
/// and fewer than the connections that the test opens.
const DESCRIPTORS: usize = 48;

/// A process that is killed when it is dropped.
struct LimitedGateway(Child);

impl Drop for LimitedGateway {
    fn drop(&mut self) {
        // Both fail if the process has already ended.
        let _killed = self.0.kill();
        let _waited = self.0.wait();
    }
}

/// Starts the gateway binary with `DESCRIPTORS` as its limit.
fn start_limited(settings: &str) -> LimitedGateway {
    let script = format!("ulimit -n {DESCRIPTORS}; exec \"$0\" gateway --settings \"$1\"");
    let started = Command::new("sh")
        .args(["-c", &script, env!("CARGO_BIN_EXE_amaranthgw"), settings])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    LimitedGateway(started.expect("the binary starts"))
}

#[tokio::test]
async fn accept_each_descriptors_exhausted() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let ports = [(); 4].map(|()| ReservedPort::new(&[ANY_PORT.ip()]).expect("a free port"));
    let [caller, ready, node, metrics] = ports.each_ref().map(|port| port.address(ANY_PORT.ip()));
    let file = std::env::temp_dir().join(format!(
        "amaranthgw-descriptors-{}.json",
        std::process::id()
    ));
    let settings = json!({
        "vm": "gateway-1", "domain": "domain-a", "caller_listen": caller,
        "ready_listen": ready, "node_listen": node, "metrics_listen": metrics,
        "store": site.store_address, "grace": "1s",
        "retry_ratio": 0.2, "retry_slack": 94, "retry_window": "10s",
    });
    std::fs::write(&file, settings.to_string()).expect("settings are written");
    let _gateway = start_limited(&file.to_string_lossy());
    let listens = || async { TcpStream::connect(ready).ok().map(drop) };
    eventually("a listening gateway", listens).await;
    let answers = || async { is_ready(ready).await.then_some(()) };
    eventually("readiness", answers).await;
    let open: Vec<_> = (0..DESCRIPTORS * 2)
        .map(|_| TcpStream::connect(ready).expect("connects"))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(open);
    eventually("readiness after descriptors were freed", answers).await;
    std::fs::remove_file(&file).expect("the settings are removed");
}
