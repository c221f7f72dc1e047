//! The `apply` command, and the commit of changes that other commands make.

use std::time::Duration;

use amaranthgw_fleet::config::{
    ChangeId, CommitConflict, CommitOutcome, CommitRequest, ConfigEdit, ConfigView, ReadError,
    diff_lists,
};
use tokio::runtime::Builder;
use tokio::time::Instant;

use super::check::read_lists;
use super::node::reject_input;
use super::options::{ListFiles, OperatorOptions};
use crate::operator::{commit, read_config, unix_ms};
use crate::platform::HttpStore;

/// Longest time that a command waits for the key-value service.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Commits the differences between the two lists and the configuration in force.
pub(super) fn run_apply(operator: &OperatorOptions, files: &ListFiles) -> eyre::Result<u8> {
    let lists = match read_lists(files)? {
        Ok(lists) => lists,
        Err(error) => return Ok(reject_input(&error)),
    };
    commit_edits(operator, |view| diff_lists(&view.state, &lists))
}

/// Commits the edits that `make` returns for the configuration in the key-value service, prints
/// the outcome and returns its exit code.
pub(super) fn commit_edits(
    operator: &OperatorOptions,
    make: impl FnOnce(&ConfigView) -> Vec<ConfigEdit>,
) -> eyre::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let outcome = runtime.block_on(async {
        let store = HttpStore::new(operator.store);
        let deadline = Instant::now() + STORE_TIMEOUT;
        let seen = read_config(&store, deadline).await?;
        let request = CommitRequest {
            id: ChangeId::new(fastrand::u128(..)),
            operator: operator.operator.clone(),
            made_at_unix_ms: unix_ms(),
            edits: make(&seen),
        };
        Ok::<_, ReadError>(commit(&store, request, seen, deadline).await)
    })?;
    print_outcome(&outcome);
    Ok(outcome.exit_code())
}

fn print_outcome(outcome: &CommitOutcome) {
    match outcome {
        CommitOutcome::Accepted(number) => println!("accepted as change {number}"),
        CommitOutcome::NoChange => println!("nothing to change"),
        CommitOutcome::Conflict(conflict) => print_conflict(conflict),
        CommitOutcome::Refused(error) => eprintln!("refused: {error}"),
        CommitOutcome::StoreUnavailable => {
            eprintln!("not made: the key-value service does not answer; nothing was changed");
        }
        CommitOutcome::Unknown => {
            eprintln!("unknown: the change may have been accepted; see `amaranthgw status`");
        }
    }
}

fn print_conflict(conflict: &CommitConflict) {
    eprintln!(
        "not made: change {} is already in force; this change was based on change {}",
        conflict.current, conflict.seen
    );
    for mark in &conflict.marks {
        eprintln!("  change {} by {}", mark.number, mark.operator);
    }
    for edit in &conflict.edits {
        eprintln!("  {}", serde_json::to_string(edit).unwrap_or_default());
    }
}
