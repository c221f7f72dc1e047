//! Moving the older changes of the log into a new base.

use amaranthgw_core::ChangeNumber;

use super::store::{encode_value, unreadable};
use super::{ChangeMark, ConfigBase, ConfigChange, ConfigLog, ConfigView, Result};

/// Encoded size at which the log is compacted, in bytes. Every watcher reads the whole log at each
/// change.
pub const MAX_LOG_BYTES: usize = 6 * 1_024;
/// Encoded size of the changes that stay in the log, in bytes, so that a node a few changes behind
/// needs no base.
pub const KEPT_LOG_BYTES: usize = 2 * 1_024;
/// Number of changes at which the log is compacted.
pub const MAX_LOG_CHANGES: usize = 64;
/// Number of changes that stay in the log.
pub const KEPT_LOG_CHANGES: usize = 32;
/// Changes before the end of a base that it remembers by their marks.
pub const MAX_BASE_MARKS: usize = 256;

/// The values that add a change to the log.
#[derive(Debug)]
pub(super) struct LogUpdate {
    /// Bases to remove first.
    pub(super) garbage: Vec<ChangeNumber>,
    /// Base to write next, where the log is compacted.
    pub(super) base: Option<Box<ConfigBase>>,
    /// Log to write last.
    pub(super) log: ConfigLog,
}

/// Adds `change` to the log of `view` and compacts the log where it has grown too large.
pub(super) fn append(view: &ConfigView, change: ConfigChange) -> Result<LogUpdate> {
    let mut log = view.log.clone();
    log.changes.push(change);
    let is_short = log.changes.len() <= MAX_LOG_CHANGES;
    if is_short && encoded_len(&log)? <= MAX_LOG_BYTES {
        return Ok(LogUpdate {
            garbage: Vec::new(),
            base: None,
            log,
        });
    }
    let folded = log.changes.len() - kept_changes(&log)?;
    if folded == 0 {
        // A change that is large by itself stays until the next one.
        encode_value(&log)?;
        return Ok(LogUpdate {
            garbage: Vec::new(),
            base: None,
            log,
        });
    }
    let kept = log.changes.split_off(folded);
    let base = new_base(&view.base, &log.changes)?;
    encode_value(&base)?;
    let garbage = garbage_of(&view.log);
    let log = ConfigLog {
        base: base.state.number,
        swept: view.log.base,
        changes: kept,
    };
    encode_value(&log)?;
    Ok(LogUpdate {
        garbage,
        base: Some(Box::new(base)),
        log,
    })
}

/// How many of the newest changes stay in the log; the last one always does.
fn kept_changes(log: &ConfigLog) -> Result<usize> {
    let mut kept = 0;
    let mut bytes = 0;
    for change in log.changes.iter().rev() {
        bytes += encoded_len(change)?;
        if kept > 0 && (bytes > KEPT_LOG_BYTES || kept == KEPT_LOG_CHANGES) {
            break;
        }
        kept += 1;
    }
    Ok(kept)
}

fn new_base(old: &ConfigBase, changes: &[ConfigChange]) -> Result<ConfigBase> {
    let mut base = old.clone();
    for change in changes {
        base.state.apply(change)?;
    }
    base.marks.extend(changes.iter().map(ConfigChange::mark));
    trim_marks(&mut base.marks);
    Ok(base)
}

fn trim_marks(marks: &mut Vec<ChangeMark>) {
    let excess = marks.len().saturating_sub(MAX_BASE_MARKS);
    marks.drain(..excess);
}

/// Bases that no log after this one refers to: all below its own.
fn garbage_of(log: &ConfigLog) -> Vec<ChangeNumber> {
    let first = log.swept.get().max(1);
    (first..log.base.get()).map(ChangeNumber::new).collect()
}

fn encoded_len<T: serde::Serialize>(value: &T) -> Result<usize> {
    let bytes = serde_json::to_vec(value).map_err(|error| unreadable(&error))?;
    Ok(bytes.len())
}
