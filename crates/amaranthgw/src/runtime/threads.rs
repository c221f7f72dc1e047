//! Threads that each run their own event loop.

use std::thread::JoinHandle;

use tokio::runtime::Builder;

use super::{Result, RuntimeError};

/// Starts a thread that runs the future returned by `make` on a single-threaded event loop.
///
/// # Errors
///
/// Returns [`RuntimeError::Thread`] if the thread or its event loop cannot be started.
pub fn spawn_thread<Task, MakeTask>(name: String, make: MakeTask) -> Result<JoinHandle<()>>
where
    Task: Future<Output = ()>,
    MakeTask: FnOnce() -> Task + Send + 'static,
{
    let thread_error = |source| RuntimeError::Thread { source };
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(thread_error)?;
    let run = move || runtime.block_on(async move { make().await });
    std::thread::Builder::new()
        .name(name)
        .spawn(run)
        .map_err(thread_error)
}

/// The threads of a process, joined together.
#[derive(Debug, Default)]
pub struct ThreadGroup {
    threads: Vec<JoinHandle<()>>,
}

impl ThreadGroup {
    /// Adds `thread` to the group.
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
