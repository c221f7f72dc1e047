//! HTTP server and client shared by the stand-ins.

mod call;
mod client;
mod reply;
mod server;

pub(crate) use call::{Call, CallError, parse_segment};
pub(crate) use client::{FetchError, fetch};
pub(crate) use reply::{
    BrokenStream, NoAnswer, Reply, ReplyFuture, ReplyResult, bytes_reply, empty_reply, json_reply,
    stream_reply,
};
pub(crate) use server::{CallHandler, ConnectionCloser, accept_each, bind, serve};
