//! Forwarding of a connection's bytes in both directions, with delay and holding.

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::faults::{FaultWatch, FlowDirection, wait_while_held};

/// Maximum number of delayed or held chunks in one direction; when full, the proxy stops reading.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Buffer capacity reserved for each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes and the time at which they may be forwarded.
type DelayedChunk = (Instant, Bytes);

/// Forwards bytes in both directions until both have ended.
pub(super) async fn forward_both(client: TcpStream, upstream: TcpStream, faults: &FaultWatch) {
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::join!(
        forward(
            client_read,
            upstream_write,
            faults.clone(),
            FlowDirection::ToUpstream
        ),
        forward(
            upstream_read,
            client_write,
            faults.clone(),
            FlowDirection::FromUpstream
        ),
    );
}

async fn forward(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: FaultWatch,
    direction: FlowDirection,
) {
    let (chunks, delayed) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let reading = read_chunks(from, chunks, faults.clone());
    tokio::join!(reading, write_chunks(to, delayed, faults, direction));
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<DelayedChunk>,
    faults: FaultWatch,
) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        let Ok(1..) = from.read_buf(&mut buffer).await else {
            return;
        };
        let due = Instant::now() + faults.borrow().delay();
        if chunks.send((due, buffer.split().freeze())).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<DelayedChunk>,
    mut faults: FaultWatch,
    direction: FlowDirection,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        if wait_while_held(&mut faults, direction).await.is_none()
            || to.write_all(&chunk).await.is_err()
        {
            return;
        }
    }
    if wait_while_held(&mut faults, direction).await.is_some() {
        let _is_closed = to.shutdown().await;
    }
}
