//! The quarantine of requests: of their whole and of the parts of their prompts.

use amaranthgw_core::{PartId, TargetId, WorkspaceId};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::crash::SuspectSet;
use super::request::RequestConviction;
use super::table::{PartQuarantine, PartVerdict, QuarantineDigest, QuarantineNews};
use super::verdict::RefusedParts;

/// By what a request is known again.
#[derive(Clone, Copy, Debug)]
pub struct CallMarks<'a> {
    /// Workspace of its caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Shared parts of its prompt.
    pub parts: &'a [PartId],
    /// Mark of the whole request.
    pub request: PartId,
}

/// What a verdict is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictSubject {
    /// Parts of prompts.
    Parts,
    /// A whole request.
    Request,
}

/// A verdict with its subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallVerdict {
    /// What the verdict is about.
    pub subject: VerdictSubject,
    /// What is refused: parts of prompts, or the mark of a request as the only part.
    pub refused: RefusedParts,
}

impl CallVerdict {
    /// The verdict's parts or request as text.
    #[must_use]
    pub fn label(&self) -> CompactString {
        match self.subject {
            VerdictSubject::Parts => self.refused.label(),
            VerdictSubject::Request => format_compact!("request:{}", self.refused.label()),
        }
    }

    /// The verdict's parts or request as text for a key of the key-value service.
    #[must_use]
    pub fn key_label(&self) -> CompactString {
        match self.subject {
            VerdictSubject::Parts => self.refused.key_label(),
            VerdictSubject::Request => format_compact!("request-{}", self.refused.key_label()),
        }
    }
}

/// Digests of both tables: equal digests mean that two gateways know the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallDigest {
    /// Digest of the crashes by parts of prompts.
    pub parts: QuarantineDigest,
    /// Digest of the crashes by whole requests.
    pub requests: QuarantineDigest,
}

/// What a gateway tells a peer, and what the key-value service holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallNews {
    /// Crashes, with the parts of the prompts of their suspects.
    #[serde(default)]
    pub parts: QuarantineNews,
    /// Crashes, with the marks of their suspects.
    #[serde(default)]
    pub requests: QuarantineNews,
}

/// Crashes of targets, and the requests that may not run because of them.
#[derive(Debug)]
pub struct CallQuarantine {
    parts: PartQuarantine,
    requests: PartQuarantine,
}

impl CallQuarantine {
    /// Creates a quarantine without crashes.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            parts: PartQuarantine::new(now),
            requests: PartQuarantine::with_policy(now, Box::new(RequestConviction)),
        }
    }

    /// Whether a request may run at `now`. A trial is granted to one request.
    pub fn check(&self, marks: &CallMarks<'_>, now: Instant) -> PartVerdict {
        let of_parts = self.parts.check(marks.workspace, marks.parts, now);
        if of_parts != PartVerdict::Allowed {
            return of_parts;
        }
        self.requests.check(marks.workspace, &[marks.request], now)
    }

    /// Whether a request that is under way is refused by now.
    pub fn is_refused(&self, marks: &CallMarks<'_>) -> bool {
        self.parts.is_refused(marks.workspace, marks.parts)
            || self.requests.is_refused(marks.workspace, &[marks.request])
    }

    /// Whether a crash is known that the request may have caused. One alone refuses nothing.
    pub fn is_suspected(&self, marks: &CallMarks<'_>) -> bool {
        self.requests.is_suspected(marks.request)
    }

    /// Whether targets have begun to write on all shared parts of the request's prompt lately.
    pub fn are_parts_in_use(&self, marks: &CallMarks<'_>, now: Instant) -> bool {
        self.parts.are_in_use(marks.parts, now)
    }

    /// Records that a target began to answer a request, which clears the parts of its prompt; returns whether
    /// that changes what is known of a crash. The request itself may still crash the target.
    pub fn record_begun(&self, marks: &CallMarks<'_>, now: Instant) -> bool {
        self.parts.record_begun(marks.parts, now)
    }

    /// Records that a target answered a request with a whole success, which clears the request and the parts
    /// of its prompt; returns whether that changes what is known of a crash.
    pub fn record_answered(&self, marks: &CallMarks<'_>, now: Instant) -> bool {
        let of_parts = self.parts.record_begun(marks.parts, now);
        self.requests.record_begun(&[marks.request], now) || of_parts
    }

    /// Records that `target` crashed at `now`, after it had begun to answer a request and before it had answered
    /// it; returns whether that is news. The parts of its prompt are not suspected.
    pub fn record_crash_in_answer(
        &self,
        target: &TargetId,
        marks: &CallMarks<'_>,
        now: Instant,
    ) -> bool {
        let suspect = SuspectSet::new(marks.workspace.cloned(), &[marks.request]);
        self.requests.record_suspect(target, suspect, true, now)
    }

    /// Records that `target` crashed at `now`, after it had accepted a request and before it began to
    /// answer it; returns whether that is news.
    pub fn record_crash(&self, target: &TargetId, marks: &CallMarks<'_>, now: Instant) -> bool {
        let workspace = marks.workspace;
        let of_parts =
            !marks.parts.is_empty() && self.parts.record_crash(target, workspace, marks.parts, now);
        let mark = [marks.request];
        self.requests.record_crash(target, workspace, &mark, now) || of_parts
    }

    /// Merges what a peer told or the key-value service held; returns whether that is news.
    pub fn adopt(&self, news: &CallNews, now: Instant) -> bool {
        let of_parts = self.parts.adopt(&news.parts, now);
        self.requests.adopt(&news.requests, now) || of_parts
    }

    /// The verdicts in force.
    #[must_use]
    pub fn verdicts(&self) -> Vec<CallVerdict> {
        join(self.parts.verdicts(), self.requests.verdicts())
    }

    /// Verdicts whose trial is due, and wanted by a request, without one of this gateway being open.
    #[must_use]
    pub fn due_trials(&self, now: Instant) -> Vec<CallVerdict> {
        join(self.parts.due_trials(now), self.requests.due_trials(now))
    }

    /// Lets this gateway run one request that `verdict` refuses until `open_until`.
    pub fn open_trial(&self, verdict: &CallVerdict, open_until: Instant) {
        self.table(verdict.subject)
            .open_trial(verdict.refused.parts.clone(), open_until);
    }

    /// The crashes that support `verdict`, reduced to its subject, for the key-value service; none if
    /// only other gateways saw them.
    #[must_use]
    pub fn own_evidence(&self, verdict: &CallVerdict, now: Instant) -> CallNews {
        let table = self.table(verdict.subject);
        let evidence = table.own_evidence(&verdict.refused.parts, now);
        match verdict.subject {
            VerdictSubject::Parts => CallNews {
                parts: evidence,
                ..CallNews::default()
            },
            VerdictSubject::Request => CallNews {
                requests: evidence,
                ..CallNews::default()
            },
        }
    }

    /// Digests of what is known.
    #[must_use]
    pub fn digest(&self) -> CallDigest {
        CallDigest {
            parts: self.parts.digest(),
            requests: self.requests.digest(),
        }
    }

    /// All crashes for a peer with the digests `known`; `None` if it knows the same.
    #[must_use]
    pub fn news_for(&self, known: CallDigest, now: Instant) -> Option<CallNews> {
        let parts = self.parts.news_for(known.parts, now);
        let requests = self.requests.news_for(known.requests, now);
        (parts.is_some() || requests.is_some()).then(|| CallNews {
            parts: parts.unwrap_or_default(),
            requests: requests.unwrap_or_default(),
        })
    }

    /// Forgets crashes that are too old.
    pub fn prune(&self, now: Instant) {
        self.parts.prune(now);
        self.requests.prune(now);
    }

    const fn table(&self, subject: VerdictSubject) -> &PartQuarantine {
        match subject {
            VerdictSubject::Parts => &self.parts,
            VerdictSubject::Request => &self.requests,
        }
    }
}

fn join(of_parts: Vec<RefusedParts>, of_requests: Vec<RefusedParts>) -> Vec<CallVerdict> {
    let with_subject = |refused: Vec<RefusedParts>, subject| {
        let refused = refused.into_iter();
        refused.map(move |refused| CallVerdict { subject, refused })
    };
    with_subject(of_parts, VerdictSubject::Parts)
        .chain(with_subject(of_requests, VerdictSubject::Request))
        .collect()
}
