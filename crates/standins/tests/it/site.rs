//! Tests of the stand-ins of the users' platform.

use std::time::Duration;

use amaranthgw_standins::Standin;
use amaranthgw_standins::site::{SiteTarget, TargetBehaviour};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::client::free_address;

// Guards against requests for a target that is down at a server of another test, which had got its port.
#[tokio::test]
async fn crash_keeps_port() {
    let target = SiteTarget::new("i-1", TargetBehaviour::Answer(200));
    let running = target.start(free_address()).expect("target starts");
    let address = running.address();
    target.crash();
    let is_down = async {
        while TcpStream::connect(address).await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(1), is_down)
        .await
        .expect("down");
    let other = TcpSocket::new_v4().expect("socket");
    other.bind(address).expect_err("the port is kept");
    sleep(Duration::from_millis(600)).await;
    TcpStream::connect(address).await.expect("back");
}
