//! Puts an operator's changes in force.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amaranthgw_fleet::config::ReadError;
use amaranthgw_fleet::config::{
    ChangeId, CommitAsk, CommitOutcome, CommitStep, ConfigCommit, ConfigEdit, ConfigRead,
    ConfigView, RaceLoss, ReadStep, StoreCall, StoreReply, diff,
};
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

use super::check::read_lists;
use super::node::refuse;
use super::options::{ListFiles, OperatorOptions};
use crate::platform::{HttpStore, StoreClient, perform_config_call};

const COMMIT_TIME: Duration = Duration::from_secs(10);

/// Puts the two lists in force.
pub(super) fn run_apply(operator: &OperatorOptions, files: &ListFiles) -> eyre::Result<u8> {
    let lists = match read_lists(files)? {
        Ok(lists) => lists,
        Err(error) => return Ok(refuse(&error)),
    };
    commit_edits(operator, |view| diff(&view.state, &lists))
}

/// Commits the edits that `make` gives for the configuration in the key-value service.
pub(super) fn commit_edits(
    operator: &OperatorOptions,
    make: impl FnOnce(&ConfigView) -> Vec<ConfigEdit>,
) -> eyre::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let outcome = runtime.block_on(async {
        let store = HttpStore::new(operator.store);
        let deadline = Instant::now() + COMMIT_TIME;
        let seen = read_view(&store, deadline).await?;
        let ask = CommitAsk {
            id: ChangeId::new(fastrand::u128(..)),
            operator: operator.operator.clone(),
            made_at_unix_ms: unix_ms(),
            edits: make(&seen),
        };
        let commit = ConfigCommit::new(ask, seen, deadline);
        Ok::<_, ReadError>(run_commit(&store, commit).await)
    })?;
    print_outcome(&outcome);
    Ok(outcome.exit_code())
}

/// Reads the configuration at the key-value service on `address`.
pub(super) async fn read_config(address: SocketAddr) -> Result<ConfigView, ReadError> {
    read_view(&HttpStore::new(address), Instant::now() + COMMIT_TIME).await
}

async fn read_view(store: &dyn StoreClient, deadline: Instant) -> Result<ConfigView, ReadError> {
    let mut read = ConfigRead::new(deadline);
    let mut step = read.start();
    loop {
        match step {
            ReadStep::Call { call, after } => {
                let reply = perform(store, &call, after.duration()).await;
                step = read.on_reply(reply, Instant::now());
            }
            ReadStep::Done(view) => return Ok(*view),
            ReadStep::Failed(error) => return Err(error),
        }
    }
}

async fn run_commit(store: &dyn StoreClient, mut commit: ConfigCommit) -> CommitOutcome {
    let mut step = commit.start();
    loop {
        match step {
            CommitStep::Call { call, after } => {
                let reply = perform(store, &call, after.duration()).await;
                step = commit.on_reply(reply, Instant::now());
            }
            CommitStep::Done(outcome) => return outcome,
        }
    }
}

async fn perform(store: &dyn StoreClient, call: &StoreCall, after: Duration) -> StoreReply {
    sleep(after).await;
    perform_config_call(store, call).await
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn print_outcome(outcome: &CommitOutcome) {
    match outcome {
        CommitOutcome::Accepted(number) => println!("accepted as change {number}"),
        CommitOutcome::Unneeded => println!("nothing to change"),
        CommitOutcome::LostRace(loss) => print_loss(loss),
        CommitOutcome::Refused(error) => eprintln!("refused: {error}"),
        CommitOutcome::NotMade => {
            eprintln!("not made: the key-value service does not answer; nothing was changed");
        }
        CommitOutcome::Unknown => {
            eprintln!("unknown: the change may have been accepted; see `amaranthgw status`");
        }
    }
}

fn print_loss(loss: &RaceLoss) {
    eprintln!(
        "not made: change {} came first; this change was made for change {}",
        loss.current, loss.seen
    );
    for mark in &loss.marks {
        eprintln!("  change {} by {}", mark.number, mark.operator);
    }
    for edit in &loss.edits {
        eprintln!("  {}", serde_json::to_string(edit).unwrap_or_default());
    }
}
