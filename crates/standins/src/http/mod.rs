//! The HTTP server side that all stand-ins share.

mod call;
mod reply;
mod server;

pub(crate) use call::{Call, CallError, parse_segment};
pub(crate) use reply::{
    BrokenStream, NoAnswer, Reply, ReplyFuture, ReplyResult, bytes_reply, empty_reply, json_reply,
    stream_reply,
};
pub(crate) use server::{CallHandler, ConnectionSwitch, bind, serve};
