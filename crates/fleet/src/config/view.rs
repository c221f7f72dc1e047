//! The configuration as one reading of the key-value service shows it.

use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision};
use tokio::time::Instant;

use super::{
    ChangeId, ChangeMark, ConfigBase, ConfigChange, ConfigError, ConfigLog, Result, ServingState,
    StoreCall, StoreReply,
};

/// The log with its base, read together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigView {
    /// The base of the log.
    pub base: ConfigBase,
    /// The log.
    pub log: ConfigLog,
    /// Revision of the log; 0 where there is none yet.
    pub revision: StoreRevision,
    /// The configuration after the last change of the log.
    pub state: ServingState,
}

impl ConfigView {
    /// Applies `log` to its `base`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] where the log does not follow the base.
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

    /// Number of the change with the identifier `id`, where it is still known.
    #[must_use]
    pub fn find(&self, id: ChangeId) -> Option<ChangeNumber> {
        self.marks()
            .find(|mark| mark.id == id)
            .map(|mark| mark.number)
    }

    /// Whether every change after `number` still has its mark.
    #[must_use]
    pub fn remembers_after(&self, number: ChangeNumber) -> bool {
        let first = self.marks().next();
        first.map_or(self.state.number, |mark| mark.number) <= number.next()
    }
}

/// What a read does next.
#[derive(Debug)]
pub enum ReadStep {
    /// Performs `call` after waiting for `after`, and passes on the reply.
    Call {
        /// The call.
        call: StoreCall,
        /// The wait before it.
        after: MilliSpan,
    },
    /// The read is done.
    Done(Box<ConfigView>),
    /// The read has failed.
    Failed(ReadError),
}

/// Why the configuration cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The key-value service did not answer before the deadline.
    Unavailable,
    /// The values do not fit together.
    Invalid(ConfigError),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the key-value service does not answer"),
            Self::Invalid(error) => write!(f, "the stored configuration is not valid: {error}"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Time between a failed call and the next one.
pub(super) const RETRY_PAUSE: MilliSpan = MilliSpan::new(200);

/// Reads the log and its base.
#[derive(Debug)]
pub struct ConfigRead {
    deadline: Instant,
    floor: StoreRevision,
    log: Option<(ConfigLog, StoreRevision)>,
}

impl ConfigRead {
    /// Creates a read that gives up at `deadline`.
    #[must_use]
    pub const fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            floor: StoreRevision::new(0),
            log: None,
        }
    }

    /// The same read that takes no log with a revision below `floor`.
    #[must_use]
    pub const fn with_floor(mut self, floor: StoreRevision) -> Self {
        self.floor = floor;
        self
    }

    /// The first call.
    #[must_use]
    pub const fn start(&self) -> ReadStep {
        ReadStep::Call {
            call: StoreCall::ReadLog,
            after: MilliSpan::new(0),
        }
    }

    /// Takes the reply to the last call.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> ReadStep {
        match (reply, self.log.take()) {
            (StoreReply::Log { log, revision }, _) if revision >= self.floor => {
                self.on_log(log, revision)
            }
            (StoreReply::Base(base), Some((log, revision))) => finish(*base, log, revision),
            // A removed base means that the log has moved on to another one.
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
        if now + RETRY_PAUSE.duration() > self.deadline {
            return ReadStep::Failed(ReadError::Unavailable);
        }
        ReadStep::Call {
            call: StoreCall::ReadLog,
            after: RETRY_PAUSE,
        }
    }
}

fn finish(base: ConfigBase, log: ConfigLog, revision: StoreRevision) -> ReadStep {
    match ConfigView::new(base, log, revision) {
        Ok(view) => ReadStep::Done(Box::new(view)),
        Err(error) => ReadStep::Failed(ReadError::Invalid(error)),
    }
}
