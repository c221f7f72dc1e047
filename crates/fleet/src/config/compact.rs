//! Log compaction: merges older changes into a new base.

use amaranthgw_core::ChangeNumber;

use super::store::{encode_value, unreadable};
use super::{ChangeMark, ConfigBase, ConfigChange, ConfigLog, ConfigView, Result};

/// Encoded size beyond which the log is compacted, in bytes. Small, as every watcher reads the
/// whole log on each change.
pub const MAX_LOG_BYTES: usize = 6 * 1_024;
/// Maximum encoded size, in bytes, of the changes that compaction leaves in the log, apart from the
/// newest one, which always stays. A node that is a few changes behind needs only these and not the
/// base.
pub const MAX_KEPT_BYTES: usize = 2 * 1_024;
/// Number of changes beyond which the log is compacted.
pub const MAX_LOG_CHANGES: usize = 64;
/// Maximum number of changes that compaction leaves in the log.
pub const MAX_KEPT_CHANGES: usize = 32;
/// Maximum number of change marks in a base.
pub const MAX_BASE_MARKS: usize = 256;

/// Writes and removals that append a change to the log.
#[derive(Debug)]
pub(super) struct LogUpdate {
    /// Bases to remove first.
    pub(super) obsolete_bases: Vec<ChangeNumber>,
    /// Base to write next, if the log is compacted.
    pub(super) base: Option<Box<ConfigBase>>,
    /// Log to write last.
    pub(super) log: ConfigLog,
}

/// Appends `change` to the log of `view` and compacts the log if it exceeds its limits.
pub(super) fn append(view: &ConfigView, change: ConfigChange) -> Result<LogUpdate> {
    let mut log = view.log.clone();
    log.changes.push(change);
    let is_short = log.changes.len() <= MAX_LOG_CHANGES;
    if is_short && encoded_len(&log)? <= MAX_LOG_BYTES {
        return Ok(LogUpdate {
            obsolete_bases: Vec::new(),
            base: None,
            log,
        });
    }
    let merged = log.changes.len() - kept_changes(&log)?;
    if merged == 0 {
        // The last change always stays, even if it exceeds the size limit of the log; this checks
        // only the limit of a stored value.
        encode_value(&log)?;
        return Ok(LogUpdate {
            obsolete_bases: Vec::new(),
            base: None,
            log,
        });
    }
    let kept = log.changes.split_off(merged);
    let base = new_base(&view.base, &log.changes)?;
    // The sizes of the new base and log are checked here; the results are not used.
    encode_value(&base)?;
    let obsolete_bases = obsolete_bases(&view.log);
    let log = ConfigLog {
        base: base.state.number,
        swept: view.log.base,
        changes: kept,
    };
    encode_value(&log)?;
    Ok(LogUpdate {
        obsolete_bases,
        base: Some(Box::new(base)),
        log,
    })
}

/// Number of the newest changes that stay in the log; at least one.
fn kept_changes(log: &ConfigLog) -> Result<usize> {
    let mut kept = 0;
    let mut bytes = 0;
    for change in log.changes.iter().rev() {
        bytes += encoded_len(change)?;
        if kept > 0 && (bytes > MAX_KEPT_BYTES || kept == MAX_KEPT_CHANGES) {
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

/// Bases before the log's own that haven't been removed yet; the next log doesn't need them.
fn obsolete_bases(log: &ConfigLog) -> Vec<ChangeNumber> {
    let first = log.swept.get().max(1);
    (first..log.base.get()).map(ChangeNumber::new).collect()
}

fn encoded_len<T: serde::Serialize>(value: &T) -> Result<usize> {
    let bytes = serde_json::to_vec(value).map_err(|error| unreadable(&error))?;
    Ok(bytes.len())
}
