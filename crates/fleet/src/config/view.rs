//! Consistent read of the configuration log and its base.

use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision};
use tokio::time::Instant;

use super::{
    ChangeId, ChangeMark, ConfigBase, ConfigChange, ConfigError, ConfigLog, Result, ServingState,
    StoreCall, StoreReply,
};

/// A configuration log with its base and the resulting state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigView {
    /// Base of the log.
    pub base: ConfigBase,
    /// Changes since the base.
    pub log: ConfigLog,
    /// Revision of the log; 0 if there is no log yet.
    pub revision: StoreRevision,
    /// State after the last change of the log.
    pub state: ServingState,
}

impl ConfigView {
    /// Creates the view by applying `log` to its `base`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the base is not valid or the log doesn't follow it.
    pub fn new(base: ConfigBase, log: ConfigLog, revision: StoreRevision) -> Result<Self> {
        let mut state = base.state.clone();
        state.check()?;
        for change in &log.changes {
            state.apply(change)?;
        }
        Ok(Self {
            base,
            log,
            revision,
            state,
        })
    }

    /// Marks of the last changes, oldest first.
    pub fn marks(&self) -> impl Iterator<Item = ChangeMark> + '_ {
        let logged = self.log.changes.iter().map(ConfigChange::mark);
        self.base.marks.iter().cloned().chain(logged)
    }

    /// Number of the change with the identifier `id`, if its mark is still kept.
    #[must_use]
    pub fn find(&self, id: ChangeId) -> Option<ChangeNumber> {
        self.marks()
            .find(|mark| mark.id == id)
            .map(|mark| mark.number)
    }

    /// Whether the marks of all changes after `number` are still kept.
    #[must_use]
    pub fn has_marks_after(&self, number: ChangeNumber) -> bool {
        let first = self.marks().next();
        first.map_or(self.state.number, |mark| mark.number) <= number.next()
    }
}

/// Next step of a read.
#[derive(Debug)]
pub enum ReadStep {
    /// The caller performs `call` after the delay `after` and passes the reply to
    /// [`ConfigRead::on_reply`].
    Call {
        /// Call to perform.
        call: StoreCall,
        /// Delay before the call.
        after: MilliSpan,
    },
    /// The read succeeded.
    Done(Box<ConfigView>),
    /// The read failed.
    Failed(ReadError),
}

/// Reason why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The key-value service did not return a current configuration before the deadline.
    Unavailable,
    /// The stored values are invalid or inconsistent.
    Invalid(ConfigError),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unavailable => f.write_str(
                "no current configuration from the key-value service before the deadline",
            ),
            Self::Invalid(error) => write!(f, "invalid stored configuration: {error}"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Delay between a failed call and the next one.
pub(super) const RETRY_DELAY: MilliSpan = MilliSpan::new(200);

/// Reads the log and its base, with retries until a deadline.
#[derive(Debug)]
pub struct ConfigRead {
    deadline: Instant,
    min_revision: StoreRevision,
    log: Option<(ConfigLog, StoreRevision)>,
}

impl ConfigRead {
    /// Creates a read that fails at `deadline`.
    #[must_use]
    pub const fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            min_revision: StoreRevision::new(0),
            log: None,
        }
    }

    /// Makes the read ignore logs with a revision below `min_revision`.
    #[must_use]
    pub const fn with_min_revision(mut self, min_revision: StoreRevision) -> Self {
        self.min_revision = min_revision;
        self
    }

    /// Returns the first step.
    #[must_use]
    pub const fn start(&self) -> ReadStep {
        ReadStep::Call {
            call: StoreCall::ReadLog,
            after: MilliSpan::new(0),
        }
    }

    /// Handles the reply to the last call.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> ReadStep {
        match (reply, self.log.take()) {
            (StoreReply::Log { log, revision }, _) if revision >= self.min_revision => {
                self.on_log(log, revision)
            }
            (StoreReply::Base(base), Some((log, revision))) => finish(*base, log, revision),
            // Reads the log again after any other reply. A missing base, for instance, was removed
            // because the log was compacted to a newer one.
            _ => self.restart(now),
        }
    }

    fn on_log(&mut self, log: ConfigLog, revision: StoreRevision) -> ReadStep {
        let number = log.base;
        if number == ChangeNumber::default() {
            return finish(ConfigBase::default(), log, revision);
        }
        self.log = Some((log, revision));
        ReadStep::Call {
            call: StoreCall::ReadBase { number },
            after: MilliSpan::new(0),
        }
    }

    fn restart(&self, now: Instant) -> ReadStep {
        if now + RETRY_DELAY.duration() > self.deadline {
            return ReadStep::Failed(ReadError::Unavailable);
        }
        ReadStep::Call {
            call: StoreCall::ReadLog,
            after: RETRY_DELAY,
        }
    }
}

fn finish(base: ConfigBase, log: ConfigLog, revision: StoreRevision) -> ReadStep {
    match ConfigView::new(base, log, revision) {
        Ok(view) => ReadStep::Done(Box::new(view)),
        Err(error) => ReadStep::Failed(ReadError::Invalid(error)),
    }
}
