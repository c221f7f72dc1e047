//! A caller's connection that ends when the caller takes too little of what is written to it.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use amaranthgw_fleet::memory::{PaceVerdict, ReaderPace};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::delivery::CallerDelivery;

/// Stream of a caller's connection.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    delivery: CallerDelivery,
    pace: ReaderPace,
    /// Timer of a write that waits for the caller.
    timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps `stream`, which writes what `delivery` tells of.
    pub(super) const fn new(stream: TcpStream, delivery: CallerDelivery) -> Self {
        Self {
            stream,
            delivery,
            pace: ReaderPace::new(),
            timer: None,
        }
    }

    /// Records the outcome of a write of `offered` bytes; an error if the caller is too slow.
    fn finish_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<usize>>,
        offered: usize,
    ) -> Poll<Result<usize>> {
        if written.is_pending() {
            ready!(self.poll_too_slow(cx));
            return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
        }
        if let Poll::Ready(Ok(taken)) = written {
            self.pace.record_taken(taken, offered, Instant::now());
            if self.pace.is_behind() {
                self.delivery.record_taken();
            } else {
                self.delivery.record_end();
            }
        }
        written
    }

    /// Ready once the caller is too slow.
    fn poll_too_slow(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let PaceVerdict::WaitUntil(at) = self.pace.record_blocked(Instant::now()) {
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
            if timer.deadline() != at {
                timer.as_mut().reset(at);
            }
            ready!(timer.as_mut().poll(cx));
        }
        Poll::Ready(())
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.pace.is_behind() {
            // The kernel would keep what the caller doesn't take.
            drop(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.finish_write(cx, written, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.finish_write(cx, written, bufs.iter().map(|buf| buf.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
