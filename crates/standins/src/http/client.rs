//! A plain read over a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why a read failed.
#[derive(Debug)]
pub(crate) enum FetchError {
    /// The address cannot be reached.
    Connect(std::io::Error),
    /// The call broke off.
    Call(hyper::Error),
    /// The path is malformed.
    Path(http::Error),
    /// The answer is not 200.
    Status(StatusCode),
}

impl std::fmt::Display for FetchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(_) => f.write_str("cannot connect"),
            Self::Call(_) => f.write_str("the call broke off"),
            Self::Path(_) => f.write_str("the path is malformed"),
            Self::Status(status) => write!(f, "answered {status}"),
        }
    }
}

impl std::error::Error for FetchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Connect(source) => Some(source),
            Self::Call(source) => Some(source),
            Self::Path(source) => Some(source),
            Self::Status(_) => None,
        }
    }
}

/// Reads `path` at `address` to its end and drops the bytes.
pub(crate) async fn fetch(address: SocketAddr, path: String) -> Result<(), FetchError> {
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request
        .body(Empty::<Bytes>::new())
        .map_err(FetchError::Path)?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(FetchError::Connect)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(FetchError::Call)?;
    let reading = async move {
        let reply = sender
            .send_request(request)
            .await
            .map_err(FetchError::Call)?;
        if reply.status() != StatusCode::OK {
            return Err(FetchError::Status(reply.status()));
        }
        drain(reply.into_body()).await
    };
    let (read, _closed) = tokio::join!(reading, connection);
    read
}

async fn drain(mut body: hyper::body::Incoming) -> Result<(), FetchError> {
    while let Some(frame) = body.frame().await {
        frame.map_err(FetchError::Call)?;
    }
    Ok(())
}
