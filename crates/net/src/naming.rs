//! Names of calls, by which their answers are told from earlier ones.

use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, HeaderName, HeaderValue};

/// To which call an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOrigin {
    /// It names the call.
    Own,
    /// It names no call.
    Unnamed,
    /// It names another call.
    Other,
}

/// Names calls in a header that the peer echoes.
#[derive(Debug)]
pub(crate) struct CallNaming {
    header: HeaderName,
    next: AtomicU64,
}

impl CallNaming {
    /// Names calls in `header`, from a random name on.
    pub(crate) fn new(header: HeaderName) -> Self {
        Self {
            header,
            next: AtomicU64::new(RandomState::new().hash_one(())),
        }
    }

    /// Header and name of the next call.
    pub(crate) fn next_call(&self) -> (HeaderName, HeaderValue) {
        let name = self.next.fetch_add(1, Ordering::Relaxed);
        let name = HeaderValue::from_str(&format!("{name:016x}"));
        let name = name.unwrap_or_else(|_never| HeaderValue::from_static("call"));
        (self.header.clone(), name)
    }

    /// To which call an answer with `headers` belongs, on a connection on which `name` was sent.
    pub(crate) fn origin(&self, headers: &HeaderMap, name: &HeaderValue) -> AnswerOrigin {
        match headers.get(&self.header) {
            Some(echo) if echo == name => AnswerOrigin::Own,
            Some(_other) => AnswerOrigin::Other,
            None => AnswerOrigin::Unnamed,
        }
    }
}
