//! Optimistic commit of an operator's edits to the log.

use std::collections::VecDeque;

use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision};
use tokio::time::Instant;

use super::compact::append;
use super::view::RETRY_DELAY;
use super::{
    CommitConflict, CommitOutcome, CommitRequest, CommitStep, ConfigChange, ConfigEdit, ConfigRead,
    ConfigView, ReadError, ReadStep, StoreCall, StoreReply, diff_states,
};

/// Commits edits that an operator made based on an earlier view of the configuration.
///
/// Changes that other operators committed since that view are tolerated unless their net difference
/// conflicts with the edits. Any two edits of the lists conflict; two edits that take out or bring
/// back a VM or failure domain conflict if their scope is the same.
#[derive(Debug)]
pub struct ConfigCommit {
    request: CommitRequest,
    seen: ConfigView,
    view: ConfigView,
    deadline: Instant,
    min_revision: StoreRevision,
    is_in_doubt: bool,
    phase: CommitPhase,
}

#[derive(Debug)]
enum CommitPhase {
    /// Performs the remaining calls of an update in order.
    Update(VecDeque<StoreCall>),
    /// Reads the log after a conflict or a write with an unknown outcome.
    Read(ConfigRead),
}

impl ConfigCommit {
    /// Creates a commit of `request`, whose edits are based on the view `seen`; it stops at
    /// `deadline`.
    #[must_use]
    pub fn new(request: CommitRequest, seen: ConfigView, deadline: Instant) -> Self {
        Self {
            request,
            view: seen.clone(),
            min_revision: seen.revision,
            seen,
            deadline,
            is_in_doubt: false,
            phase: CommitPhase::Update(VecDeque::new()),
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> CommitStep {
        if self.request.edits.is_empty() {
            return CommitStep::Done(CommitOutcome::NoChange);
        }
        self.decide()
    }

    /// Handles the reply to the last call.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> CommitStep {
        match &mut self.phase {
            CommitPhase::Read(read) => {
                let step = read.on_reply(reply, now);
                self.on_read(step)
            }
            CommitPhase::Update(calls) => match calls.pop_front() {
                Some(call) => self.on_update(call, reply, now),
                None => self.reread(MilliSpan::new(0)),
            },
        }
    }

    /// Decides from the latest view whether the commit is done, conflicts, is refused or is
    /// attempted.
    fn decide(&mut self) -> CommitStep {
        if let Some(number) = self.view.find(self.request.id) {
            return CommitStep::Done(CommitOutcome::Accepted(number));
        }
        if self.is_in_doubt && !self.view.has_marks_after(self.seen.state.number) {
            return CommitStep::Done(CommitOutcome::Unknown);
        }
        let conflict = self.change_conflict();
        if conflicts(&conflict.edits, &self.request.edits) {
            return CommitStep::Done(CommitOutcome::Conflict(conflict));
        }
        match self.update_calls() {
            Ok(calls) => {
                self.phase = CommitPhase::Update(calls);
                self.next_call(MilliSpan::new(0))
            }
            Err(error) => CommitStep::Done(CommitOutcome::Refused(error)),
        }
    }

    fn update_calls(&self) -> super::Result<VecDeque<StoreCall>> {
        self.view.state.check_edits(&self.request.edits)?;
        let change = ConfigChange {
            number: self.view.state.number.next(),
            id: self.request.id,
            operator: self.request.operator.clone(),
            made_at_unix_ms: self.request.made_at_unix_ms,
            edits: self.request.edits.clone(),
        };
        let update = append(&self.view, change)?;
        let remove = |number| StoreCall::RemoveBase {
            number,
            expect: UNKNOWN_REVISION,
        };
        let mut calls: VecDeque<_> = update.obsolete_bases.into_iter().map(remove).collect();
        calls.extend(update.base.map(|base| StoreCall::WriteBase { base }));
        let (log, expect) = (update.log, self.view.revision);
        calls.push_back(StoreCall::WriteLog { log, expect });
        Ok(calls)
    }

    fn on_update(&mut self, call: StoreCall, reply: StoreReply, now: Instant) -> CommitStep {
        match (&call, reply) {
            (StoreCall::WriteLog { .. }, StoreReply::Written(_)) => {
                let number = self.view.state.number.next();
                CommitStep::Done(CommitOutcome::Accepted(number))
            }
            (StoreCall::WriteLog { .. }, StoreReply::Conflict(revision)) => {
                self.min_revision = self.min_revision.max(revision);
                self.reread(MilliSpan::new(0))
            }
            (StoreCall::WriteLog { .. }, StoreReply::Lost) => {
                self.is_in_doubt = true;
                self.retry_or_stop(now, Self::reread)
            }
            // The first attempt to remove a base only returns the revision to expect.
            (StoreCall::RemoveBase { number, .. }, StoreReply::Conflict(expect))
                if expect != StoreRevision::default() =>
            {
                let number = *number;
                self.push_call(StoreCall::RemoveBase { number, expect });
                self.next_call(MilliSpan::new(0))
            }
            // If the base to write exists, it was created from the same changes; if the base to
            // remove is absent, nothing is left to do.
            (_, StoreReply::Written(_) | StoreReply::Conflict(_) | StoreReply::Absent) => {
                self.next_call(MilliSpan::new(0))
            }
            _ => {
                self.push_call(call);
                self.retry_or_stop(now, Self::next_call)
            }
        }
    }

    fn on_read(&mut self, step: ReadStep) -> CommitStep {
        match step {
            ReadStep::Call { call, after } => CommitStep::Call { call, after },
            ReadStep::Failed(ReadError::Invalid(error)) if !self.is_in_doubt => {
                CommitStep::Done(CommitOutcome::Refused(error))
            }
            ReadStep::Failed(_) => self.stop(),
            ReadStep::Done(view) => {
                // A newer log than the one that the write expected settles whether it took effect.
                let is_decided = view.revision > self.view.revision;
                let has_marks = view.has_marks_after(self.seen.state.number);
                self.view = *view;
                self.min_revision = self.min_revision.max(self.view.revision);
                self.is_in_doubt &= !(is_decided && has_marks);
                self.decide()
            }
        }
    }

    fn reread(&mut self, after: MilliSpan) -> CommitStep {
        let read = ConfigRead::new(self.deadline).with_min_revision(self.min_revision);
        self.phase = CommitPhase::Read(read);
        CommitStep::Call {
            call: StoreCall::ReadLog,
            after,
        }
    }

    fn push_call(&mut self, call: StoreCall) {
        if let CommitPhase::Update(calls) = &mut self.phase {
            calls.push_front(call);
        }
    }

    fn next_call(&mut self, after: MilliSpan) -> CommitStep {
        let next = match &self.phase {
            CommitPhase::Update(calls) => calls.front().cloned(),
            CommitPhase::Read(_) => None,
        };
        match next {
            Some(call) => CommitStep::Call { call, after },
            None => self.reread(after),
        }
    }

    fn retry_or_stop(
        &mut self,
        now: Instant,
        next: impl FnOnce(&mut Self, MilliSpan) -> CommitStep,
    ) -> CommitStep {
        if now + RETRY_DELAY.duration() > self.deadline {
            return self.stop();
        }
        next(self, RETRY_DELAY)
    }

    const fn stop(&self) -> CommitStep {
        CommitStep::Done(if self.is_in_doubt {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::StoreUnavailable
        })
    }

    fn change_conflict(&self) -> CommitConflict {
        let seen = self.seen.state.number;
        let is_between = |number: ChangeNumber| number > seen;
        let logged = self.view.log.changes.iter();
        CommitConflict {
            seen,
            current: self.view.state.number,
            marks: self
                .view
                .marks()
                .filter(|mark| is_between(mark.number))
                .collect(),
            changes: logged
                .filter(|change| is_between(change.number))
                .cloned()
                .collect(),
            edits: diff_states(&self.seen.state, &self.view.state),
        }
    }
}

/// Revision that no base has, as a log is written before the first base. A removal that expects it
/// fails and returns the actual revision.
const UNKNOWN_REVISION: StoreRevision = StoreRevision::new(1);

/// Whether the edits `between`, made by others since the operator's view, conflict with `edits`.
fn conflicts(between: &[ConfigEdit], edits: &[ConfigEdit]) -> bool {
    between
        .iter()
        .any(|other| edits.iter().any(|edit| edit_conflicts(other, edit)))
}

fn edit_conflicts(first: &ConfigEdit, second: &ConfigEdit) -> bool {
    match (first.out_scope(), second.out_scope()) {
        (Some(first), Some(second)) => first == second,
        (None, None) => true,
        _ => false,
    }
}
