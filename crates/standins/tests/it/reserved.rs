//! Tests of port reservations.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr};

use amaranthgw_standins::{ReservedPort, StandinError};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const HOSTS: [IpAddr; 2] = [
    IpAddr::V4(Ipv4Addr::new(127, 0, 82, 1)),
    IpAddr::V4(Ipv4Addr::new(127, 0, 82, 2)),
];

// A port that was free when it was looked up was taken when the server started.
#[tokio::test]
async fn reserved_port_refused_to_others() {
    let reserved = ReservedPort::new(&HOSTS).expect("free port");
    for host in HOSTS {
        let socket = TcpSocket::new_v4().expect("socket");
        let refused = socket.bind(reserved.address(host));
        assert_eq!(refused.expect_err("taken").kind(), ErrorKind::AddrInUse);
    }
}

#[tokio::test]
async fn reserved_port_served_again_after_restart() {
    let reserved = ReservedPort::new(&HOSTS).expect("free port");
    for _start in 0..2 {
        for host in HOSTS {
            let address = reserved.address(host);
            TcpStream::connect(address).await.expect_err("no server");
            let listener = TcpListener::bind(address).await.expect("listens");
            TcpStream::connect(address).await.expect("connects");
            drop(listener);
        }
    }
}

#[tokio::test]
async fn reserved_port_host_not_local() {
    let host = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1));
    let refused = ReservedPort::new(&[host]).expect_err("not local");
    assert!(matches!(refused, StandinError::Listen { address, .. } if address.ip() == host));
}
