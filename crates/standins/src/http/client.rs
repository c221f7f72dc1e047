//! HTTP GET over a new connection, discarding the body.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why a fetch failed.
#[derive(Debug)]
pub(crate) enum FetchError {
    /// The connection could not be opened.
    Connect(std::io::Error),
    /// The connection failed during the call.
    Call(hyper::Error),
    /// The path is not a valid URI.
    Path(http::Error),
    /// The answer's status is not 200.
    Status(StatusCode),
}

impl std::fmt::Display for FetchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(_) => f.write_str("cannot connect"),
            Self::Call(_) => f.write_str("the connection failed during the call"),
            Self::Path(_) => f.write_str("invalid path"),
            Self::Status(status) => write!(f, "expected status 200, got {status}"),
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

/// Reads the resource `path` at `address` completely and discards its bytes.
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
        read_to_end(reply.into_body()).await
    };
    let (read, _closed) = tokio::join!(reading, connection);
    read
}

async fn read_to_end(mut body: hyper::body::Incoming) -> Result<(), FetchError> {
    while let Some(frame) = body.frame().await {
        frame.map_err(FetchError::Call)?;
    }
    Ok(())
}
