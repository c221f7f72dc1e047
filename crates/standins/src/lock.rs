//! The lock around the state of a stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`; a panic of an earlier holder is disregarded.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
