//! Table of the suspect requests known to one process.

use amaranthgw_core::{EntityTable, MilliSpan};

use super::{DeathId, DeathRecord, Result, SuspectRefusal, SuspectSettings, SuspectVerdict};
use crate::claims::BodyFingerprint;

/// Unexpected death of a target process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetDeath {
    /// Process that died.
    pub id: DeathId,
    /// Time of the death, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Whether the reporter knows every request that the target was running.
    pub is_whole_view: bool,
}

/// A request that was running when the target died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// Fingerprint of the request.
    pub fingerprint: BodyFingerprint,
    /// How long it had been running.
    pub ran_for: MilliSpan,
}

/// Isolation required for a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectLevel {
    /// May run alongside other requests.
    Clear,
    /// Must run alone on its target.
    Suspect {
        /// Number of deaths that are not forgiven.
        deaths: u32,
    },
    /// Must not run.
    Refused {
        /// Number of deaths of targets that ran nothing else.
        alone_deaths: u32,
    },
}

impl SuspectLevel {
    /// Checks that the request may run, alone if it is a suspect.
    ///
    /// # Errors
    ///
    /// Returns [`SuspectRefusal::CrashesTargets`] if the request must not run.
    pub fn check(self) -> Result<()> {
        match self {
            Self::Clear | Self::Suspect { .. } => Ok(()),
            Self::Refused { alone_deaths } => Err(SuspectRefusal::CrashesTargets { alone_deaths }),
        }
    }
}

/// Fingerprints of requests that were running when a target died.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    settings: SuspectSettings,
    rows: EntityTable<BodyFingerprint, SuspectVerdict>,
}

impl SuspectTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            rows: EntityTable::new(),
        }
    }

    /// Records a death for every request that was `running`; returns their rows and those of
    /// requests that were forgiven a death, to send to peers.
    pub fn record_death(
        &mut self,
        death: &TargetDeath,
        running: &[RunningRow],
    ) -> Vec<SuspectVerdict> {
        let first = running.first().map(|row| row.fingerprint);
        let is_only_fingerprint = running.iter().all(|row| Some(row.fingerprint) == first);
        for row in running {
            let record = DeathRecord {
                is_alone: death.is_whole_view && is_only_fingerprint,
                at_unix_ms: death.at_unix_ms,
                is_forgiven: false,
                ran_for: row.ran_for,
            };
            self.row(row.fingerprint).add(death.id.clone(), record);
        }
        let mut changed: Vec<_> = running.iter().map(|row| row.fingerprint).collect();
        changed.extend(self.forgive_explained(death.at_unix_ms));
        self.enforce_max_rows(death.at_unix_ms);
        self.verdicts(changed)
    }

    /// Forgives all deaths of a request that finished; returns its row, to send to peers, if it
    /// changed.
    pub fn record_finish(&mut self, fingerprint: BodyFingerprint) -> Option<SuspectVerdict> {
        let row = self.rows.get_mut(&fingerprint)?;
        row.forgive(|_| true).then(|| row.clone())
    }

    /// Merges a peer's verdict; returns whether the row of its fingerprint changed.
    pub fn merge(&mut self, verdict: &SuspectVerdict, unix_ms: u64) -> bool {
        let is_changed = self.row(verdict.fingerprint).merge(verdict);
        if is_changed {
            self.forgive_explained(unix_ms);
        }
        self.enforce_max_rows(unix_ms);
        is_changed
    }

    /// Isolation required for `fingerprint` at `unix_ms`.
    #[must_use]
    pub fn level(&self, fingerprint: &BodyFingerprint, unix_ms: u64) -> SuspectLevel {
        let row = self.rows.get(fingerprint);
        row.map_or(SuspectLevel::Clear, |row| {
            level_of(row, &self.settings, unix_ms)
        })
    }

    /// Known deaths of `fingerprint`, if any.
    #[must_use]
    pub fn verdict(&self, fingerprint: &BodyFingerprint) -> Option<&SuspectVerdict> {
        self.rows.get(fingerprint)
    }

    /// Removes expired deaths and rows without deaths.
    pub fn prune(&mut self, unix_ms: u64) {
        let expiry = self.settings.expiry;
        for (_, row) in self.rows.iter_mut() {
            row.deaths
                .retain(|_, record| is_live(record, expiry, unix_ms));
        }
        self.rows.retain(|_, row| !row.deaths.is_empty());
    }

    /// All rows, for sending to a peer.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &SuspectVerdict> {
        self.rows.rows()
    }

    fn row(&mut self, fingerprint: BodyFingerprint) -> &mut SuspectVerdict {
        let make = || SuspectVerdict::new(fingerprint);
        self.rows.get_or_insert_with(fingerprint, make)
    }

    /// Forgives each request the deaths at which another request, now refused, was running too;
    /// returns the changed fingerprints.
    fn forgive_explained(&mut self, unix_ms: u64) -> Vec<BodyFingerprint> {
        let is_refused = |row: &&SuspectVerdict| {
            matches!(
                level_of(row, &self.settings, unix_ms),
                SuspectLevel::Refused { .. }
            )
        };
        let refused: Vec<_> = self.rows.rows().filter(is_refused).cloned().collect();
        let mut forgiven = Vec::new();
        for (fingerprint, row) in self.rows.iter_mut() {
            let is_explained = |id: &DeathId| {
                let is_present = |other: &SuspectVerdict| {
                    other.fingerprint != *fingerprint && other.deaths.contains(id)
                };
                refused.iter().any(is_present)
            };
            if row.forgive(is_explained) {
                forgiven.push(*fingerprint);
            }
        }
        forgiven
    }

    /// Removes the least suspect rows, oldest first, until at most `max_rows` are left.
    fn enforce_max_rows(&mut self, unix_ms: u64) {
        if self.rows.len() <= self.settings.max_rows {
            return;
        }
        self.prune(unix_ms);
        let removal_order = |row: &SuspectVerdict| {
            let latest = row.deaths.rows().map(|record| record.at_unix_ms).max();
            (
                level_of(row, &self.settings, unix_ms),
                latest,
                row.fingerprint,
            )
        };
        let mut order: Vec<_> = self.rows.rows().map(removal_order).collect();
        order.sort_unstable();
        let surplus = self.rows.len().saturating_sub(self.settings.max_rows);
        for (_, _, fingerprint) in order.into_iter().take(surplus) {
            self.rows.remove(&fingerprint);
        }
    }

    fn verdicts(&self, mut fingerprints: Vec<BodyFingerprint>) -> Vec<SuspectVerdict> {
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let rows = fingerprints
            .iter()
            .map(|fingerprint| self.rows.get(fingerprint));
        rows.flatten().cloned().collect()
    }
}

fn level_of(row: &SuspectVerdict, settings: &SuspectSettings, unix_ms: u64) -> SuspectLevel {
    let live = || {
        let records = row.deaths.rows();
        records.filter(|record| is_live(record, settings.expiry, unix_ms))
    };
    let alone_deaths = count(live().filter(|record| record.is_alone));
    let deaths = count(live().filter(|record| !record.is_forgiven));
    if alone_deaths >= settings.refuse_after {
        SuspectLevel::Refused { alone_deaths }
    } else if deaths > 0 {
        SuspectLevel::Suspect { deaths }
    } else {
        SuspectLevel::Clear
    }
}

fn is_live(record: &DeathRecord, expiry: MilliSpan, unix_ms: u64) -> bool {
    unix_ms < record.at_unix_ms.saturating_add(expiry.millis())
}

fn count<'a>(records: impl Iterator<Item = &'a DeathRecord>) -> u32 {
    u32::try_from(records.count()).unwrap_or(u32::MAX)
}
