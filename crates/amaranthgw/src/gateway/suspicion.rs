//! Whether a request may have crashed a target, and whether it may run in spite of earlier crashes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{PartId, WorkspaceId};
use amaranthgw_fleet::gateway::{CallMarks, PartVerdict, TargetCandidate};
use amaranthgw_net::HttpConnection;
use compact_str::{CompactString, ToCompactString};
use tokio::time::{Instant, sleep, timeout};

use super::attempt::{DEFAULT_KEEP_ALIVE_TIMEOUT, dial_target};
use super::refusal::CallRefusal;
use super::run::CallRun;
use super::shared::GatewayThread;
use crate::telemetry::NodeEvent;

/// Time after which a new connection to a target that is down is mostly closed.
const DOWN_CHECK_DELAY: Duration = Duration::from_millis(10);
/// Time after which it is closed even if the target's machine is busy.
const LATE_CHECK_DELAY: Duration = Duration::from_millis(250);

/// Time for which a suspected stream that broke off waits for the look at its target before it goes on
/// elsewhere.
const STREAM_CHECK_TIME: Duration = Duration::from_millis(30);

/// What a request has to do with crashes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallStanding {
    /// Nothing, as far as is known.
    Ordinary,
    /// It runs to find out whether it, or parts of its prompt, still crash targets.
    Trial,
    /// It may have crashed a target, so that it is not sent to another.
    Suspect,
}

impl CallRun {
    /// By what the request is known again if it comes once more.
    fn marks(&self) -> CallMarks<'_> {
        CallMarks {
            workspace: self.call.workspace.as_ref(),
            parts: &self.call.terms.shared_parts,
            request: self.call.mark,
        }
    }

    /// Checks that neither the request nor a part of its prompt is known to crash targets.
    ///
    /// # Errors
    ///
    /// Returns [`CallRefusal::CrashesTargets`] if the request must not run, and notes when it may.
    pub(super) fn check_quarantine(&mut self) -> Result<(), CallRefusal> {
        if self.standing == CallStanding::Trial {
            return Ok(());
        }
        let now = Instant::now();
        let quarantine = &self.thread.shared.quarantine;
        match quarantine.check(&self.marks(), now) {
            PartVerdict::Allowed => Ok(()),
            PartVerdict::Trial => {
                self.standing = CallStanding::Trial;
                Ok(())
            }
            PartVerdict::Refused(delay) => {
                self.next_admission = Some(now + delay);
                Err(CallRefusal::CrashesTargets)
            }
        }
    }

    /// Whether the request, which a target has accepted, must not go on: it or its parts have crashed
    /// other targets since.
    pub(super) fn is_convicted(&self) -> bool {
        let quarantine = &self.thread.shared.quarantine;
        self.standing != CallStanding::Trial && quarantine.is_refused(&self.marks())
    }

    /// Records that a target began to write the answer.
    pub(super) fn record_begun(&self) {
        let shared = &self.thread.shared;
        if shared
            .quarantine
            .record_begun(&self.marks(), Instant::now())
        {
            shared.announce_quarantine();
        }
    }

    /// Records that a target answered with a whole success.
    pub(super) fn record_answered(&self) {
        let shared = &self.thread.shared;
        if shared
            .quarantine
            .record_answered(&self.marks(), Instant::now())
        {
            shared.announce_quarantine();
        }
    }

    /// Finds out whether `target`, which broke off, has crashed, and records the request as a suspect if so.
    /// Had it begun to write, the request itself is suspected, not the parts of its prompt, and the stream
    /// goes on elsewhere meanwhile, unless another crash is known that it may have caused.
    pub(super) async fn report_broken_off(&mut self, target: &TargetCandidate, has_begun: bool) {
        let check = CrashCheck {
            thread: Arc::clone(&self.thread),
            target: target.clone(),
            request: self.call.name(),
            workspace: self.call.workspace.clone(),
            parts: self.call.terms.shared_parts.clone(),
            mark: self.call.mark,
            has_begun,
            broke_at: Instant::now(),
        };
        let is_new = !has_begun && !self.are_parts_in_use();
        let may_go_on = has_begun
            && self.standing != CallStanding::Trial
            && !self.thread.shared.quarantine.is_suspected(&self.marks());
        let checking = tokio::spawn(check.run());
        if may_go_on {
            return;
        }
        let is_down = if has_begun {
            let checked = timeout(STREAM_CHECK_TIME, checking).await;
            checked.is_ok_and(|down| down.unwrap_or(false))
        } else {
            checking.await.unwrap_or(false)
        };
        if is_down && (is_new || self.standing == CallStanding::Trial) {
            self.standing = CallStanding::Suspect;
        }
    }

    fn are_parts_in_use(&self) -> bool {
        let quarantine = &self.thread.shared.quarantine;
        quarantine.are_parts_in_use(&self.marks(), Instant::now())
    }
}

/// Look at a target that broke off a request.
struct CrashCheck {
    thread: Arc<GatewayThread>,
    target: TargetCandidate,
    /// Name of the request in the log.
    request: CompactString,
    workspace: Option<WorkspaceId>,
    /// Parts of the prompt that may have crashed the target.
    parts: Vec<PartId>,
    mark: PartId,
    has_begun: bool,
    broke_at: Instant,
}

impl CrashCheck {
    /// Returns whether the target is down, and records the request as a suspect if so. The target's operating
    /// system may still accept connections for a moment, so that a second look follows.
    async fn run(self) -> bool {
        let connection = connect_again(self.target.record.address).await;
        self.record_broken_off(connection.is_none());
        let Some(connection) = connection else {
            self.record_crash();
            return true;
        };
        tokio::spawn(async move {
            sleep(LATE_CHECK_DELAY).await;
            if connection.is_ready() {
                let idle_timeout = DEFAULT_KEEP_ALIVE_TIMEOUT;
                let address = self.target.record.address;
                self.thread.pool.put(address, connection, idle_timeout);
            } else {
                self.record_crash();
            }
        });
        false
    }

    fn record_crash(&self) {
        let marks = CallMarks {
            workspace: self.workspace.as_ref(),
            parts: &self.parts,
            request: self.mark,
        };
        let (shared, target) = (&self.thread.shared, &self.target.record.target);
        shared.parts.forget_target(target);
        shared.record_crash(target, &marks, self.has_begun, self.broke_at);
    }

    fn record_broken_off(&self, is_down: bool) {
        let parts = self.parts.iter().map(ToCompactString::to_compact_string);
        let parts: Vec<_> = parts.collect();
        self.thread.log.record(NodeEvent::CallBrokenOff {
            request: self.request.clone(),
            target: self.target.record.target.clone(),
            workspace: self.workspace.clone(),
            parts: parts.join(",").into(),
            mark: self.mark,
            has_begun: self.has_begun,
            is_down,
        });
    }
}

/// A new connection to the target at `address`; `None` if none stays open.
async fn connect_again(address: SocketAddr) -> Option<HttpConnection> {
    let connection = dial_target(address).await.ok()?;
    // A proxy or load balancer may accept the connection although its target is down.
    sleep(DOWN_CHECK_DELAY).await;
    connection.is_ready().then_some(connection)
}
