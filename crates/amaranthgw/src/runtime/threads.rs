//! Threads with an event loop of their own.

use std::thread::JoinHandle;

use tokio::runtime::Builder;

use super::{Result, RuntimeError};

/// Starts a thread that runs the future made by `make` on an event loop of its own.
///
/// # Errors
///
/// Returns [`RuntimeError::Thread`] where the thread or its event loop can't be started.
pub fn spawn_thread<Work, Made>(name: String, make: Made) -> Result<JoinHandle<()>>
where
    Work: Future<Output = ()>,
    Made: FnOnce() -> Work + Send + 'static,
{
    let thread_error = |source| RuntimeError::Thread { source };
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(thread_error)?;
    let work = move || runtime.block_on(async move { make().await });
    std::thread::Builder::new()
        .name(name)
        .spawn(work)
        .map_err(thread_error)
}

/// The threads of a process.
#[derive(Debug, Default)]
pub struct ThreadGroup {
    threads: Vec<JoinHandle<()>>,
}

impl ThreadGroup {
    /// Adds `thread`.
    pub fn push(&mut self, thread: JoinHandle<()>) {
        self.threads.push(thread);
    }

    /// Waits until every thread has ended.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Panicked`] for the first thread that panicked.
    pub fn join(self) -> Result<()> {
        let mut result = Ok(());
        for thread in self.threads {
            let name = thread.thread().name().unwrap_or_default().to_owned();
            let ended = thread
                .join()
                .map_err(|_panic| RuntimeError::Panicked { thread: name });
            result = result.and(ended);
        }
        result
    }
}
