//! Committing an operator's edits to the log.

use std::collections::VecDeque;

use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision};
use tokio::time::Instant;

use super::compact::append;
use super::view::RETRY_PAUSE;
use super::{
    CommitAsk, CommitOutcome, CommitStep, ConfigChange, ConfigEdit, ConfigRead, ConfigView,
    RaceLoss, ReadError, ReadStep, StoreCall, StoreReply, diff_states,
};

/// Commits edits that were made for a state which the operator saw.
///
/// Changes by others in between are accepted where they do not conflict. Two changes of the lists
/// conflict, as do two changes that take out or bring back the same VM or failure domain.
#[derive(Debug)]
pub struct ConfigCommit {
    ask: CommitAsk,
    seen: ConfigView,
    view: ConfigView,
    deadline: Instant,
    floor: StoreRevision,
    is_in_doubt: bool,
    phase: CommitPhase,
}

#[derive(Debug)]
enum CommitPhase {
    /// Performs the calls of an update in order.
    Update(VecDeque<StoreCall>),
    /// Reads the log after a conflict or a lost answer.
    Read(ConfigRead),
}

impl ConfigCommit {
    /// Creates a commit of `ask` by an operator who saw `seen`; it gives up at `deadline`.
    #[must_use]
    pub fn new(ask: CommitAsk, seen: ConfigView, deadline: Instant) -> Self {
        Self {
            ask,
            view: seen.clone(),
            floor: seen.revision,
            seen,
            deadline,
            is_in_doubt: false,
            phase: CommitPhase::Update(VecDeque::new()),
        }
    }

    /// The first step.
    pub fn start(&mut self) -> CommitStep {
        if self.ask.edits.is_empty() {
            return CommitStep::Done(CommitOutcome::Unneeded);
        }
        self.prepare()
    }

    /// Takes the reply to the last call.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> CommitStep {
        match &mut self.phase {
            CommitPhase::Read(read) => {
                let step = read.on_reply(reply, now);
                self.on_read(step)
            }
            CommitPhase::Update(calls) => match calls.pop_front() {
                Some(call) => self.on_update(call, reply, now),
                None => self.read_again(MilliSpan::new(0)),
            },
        }
    }

    /// Decides on the latest view: done, lost, or another attempt to write.
    fn prepare(&mut self) -> CommitStep {
        if let Some(number) = self.view.find(self.ask.id) {
            return CommitStep::Done(CommitOutcome::Accepted(number));
        }
        if self.is_in_doubt && !self.view.remembers_after(self.seen.state.number) {
            return CommitStep::Done(CommitOutcome::Unknown);
        }
        let loss = self.race_loss();
        if conflicts(&loss.edits, &self.ask.edits) {
            return CommitStep::Done(CommitOutcome::LostRace(loss));
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
        self.view.state.check_edits(&self.ask.edits)?;
        let change = ConfigChange {
            number: self.view.state.number.next(),
            id: self.ask.id,
            operator: self.ask.operator.clone(),
            made_at_unix_ms: self.ask.made_at_unix_ms,
            edits: self.ask.edits.clone(),
        };
        let update = append(&self.view, change)?;
        let remove = |number| StoreCall::RemoveBase {
            number,
            expect: UNKNOWN_REVISION,
        };
        let mut calls: VecDeque<_> = update.garbage.into_iter().map(remove).collect();
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
                self.floor = self.floor.max(revision);
                self.read_again(MilliSpan::new(0))
            }
            (StoreCall::WriteLog { .. }, StoreReply::Lost) => {
                self.is_in_doubt = true;
                self.pause_or_stop(now, Self::read_again)
            }
            // The revision of a base to remove is learnt from the first refusal.
            (StoreCall::RemoveBase { number, .. }, StoreReply::Conflict(expect))
                if expect != StoreRevision::default() =>
            {
                let number = *number;
                self.push_call(StoreCall::RemoveBase { number, expect });
                self.next_call(MilliSpan::new(0))
            }
            // A base that exists already was written from the same changes.
            (_, StoreReply::Written(_) | StoreReply::Conflict(_) | StoreReply::Absent) => {
                self.next_call(MilliSpan::new(0))
            }
            _ => {
                self.push_call(call);
                self.pause_or_stop(now, Self::next_call)
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
                // A log beyond the one that the write expected decides the write's fate.
                let is_decided = view.revision > self.view.revision;
                let is_known = view.remembers_after(self.seen.state.number);
                self.view = *view;
                self.floor = self.floor.max(self.view.revision);
                self.is_in_doubt &= !(is_decided && is_known);
                self.prepare()
            }
        }
    }

    fn read_again(&mut self, after: MilliSpan) -> CommitStep {
        let read = ConfigRead::new(self.deadline).with_floor(self.floor);
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
            None => self.read_again(after),
        }
    }

    fn pause_or_stop(
        &mut self,
        now: Instant,
        next: impl FnOnce(&mut Self, MilliSpan) -> CommitStep,
    ) -> CommitStep {
        if now + RETRY_PAUSE.duration() > self.deadline {
            return self.stop();
        }
        next(self, RETRY_PAUSE)
    }

    const fn stop(&self) -> CommitStep {
        CommitStep::Done(if self.is_in_doubt {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::NotMade
        })
    }

    fn race_loss(&self) -> RaceLoss {
        let seen = self.seen.state.number;
        let is_between = |number: ChangeNumber| number > seen;
        let logged = self.view.log.changes.iter();
        RaceLoss {
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

/// Revision that no base is expected to have; a refusal tells the real one.
const UNKNOWN_REVISION: StoreRevision = StoreRevision::new(1);

/// Whether edits by others in between keep `edits` from being committed.
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
