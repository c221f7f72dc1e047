//! What becomes of an attempt whose target sends nothing.

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatienceVerdict {
    /// The request waits for its target.
    Stay(StayCause),
    /// Another target is sought beside the current one, which is left once the other has taken the
    /// request.
    Search(SearchCause),
    /// The attempt ends, and with it the request.
    End(EndCause),
}

/// Why a request waits for its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StayCause {
    /// The request must not run twice.
    RunsOnce,
    /// The request has used up its runs or sends.
    NoRunLeft,
    /// A search has ended a moment ago.
    SoughtLately,
    /// The target has not been silent for long.
    Fresh,
    /// The target is busy with others' requests, and this one is queued.
    Queued,
    /// No target of the service sends anything, so that none would be better.
    SilentService,
}

/// Why another target is sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchCause {
    /// The target's rank group has stalled, and another one runs.
    StalledGroup,
    /// The target has been silent for too long.
    SilentTarget,
}

impl PatienceVerdict {
    /// Name of the decision in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stay(_) => "stay",
            Self::Search(_) => "search",
            Self::End(_) => "end",
        }
    }

    /// Name of its cause in logs.
    #[must_use]
    pub const fn cause(self) -> &'static str {
        match self {
            Self::Stay(cause) => cause.name(),
            Self::Search(cause) => cause.name(),
            Self::End(cause) => cause.name(),
        }
    }
}

impl StayCause {
    /// Name of the cause in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs_once",
            Self::NoRunLeft => "no_run_left",
            Self::SoughtLately => "sought_lately",
            Self::Fresh => "fresh",
            Self::Queued => "queued",
            Self::SilentService => "silent_service",
        }
    }
}

impl EndCause {
    /// Name of the cause in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Deadline => "timed_out",
            Self::CrashesTargets => "crashes_targets",
        }
    }
}

impl SearchCause {
    /// Name of the cause in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StalledGroup => "group_stalled",
            Self::SilentTarget => "silent",
        }
    }
}

/// Why an attempt ends without another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The deadline of the request has passed.
    Deadline,
    /// The request or parts of its prompt have crashed targets, and its target has not begun to answer.
    CrashesTargets,
}
