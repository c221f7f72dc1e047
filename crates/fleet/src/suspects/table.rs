//! The suspects known to one process.

use amaranthgw_core::{EntityTable, MilliSpan};

use super::{DeathMark, DeathRecord, Result, SuspectRefusal, SuspectSettings, SuspectVerdict};
use crate::claims::BodyFingerprint;

/// A target process that died without being asked to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetDeath {
    /// Which process died.
    pub mark: DeathMark,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Whether the reporter knows of every request the target ran.
    pub is_whole_view: bool,
}

/// A request that the target ran when it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// What the request asks for.
    pub fingerprint: BodyFingerprint,
    /// How long it had run.
    pub ran_for: MilliSpan,
}

/// How a fingerprint may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectLevel {
    /// Beside others.
    Clear,
    /// Alone on its target.
    Suspect {
        /// Deaths that nothing explains yet.
        deaths: u32,
    },
    /// Not at all.
    Refused {
        /// Deaths of targets that ran nothing else.
        alone_deaths: u32,
    },
}

impl SuspectLevel {
    /// Checks that the request may run, perhaps alone.
    ///
    /// # Errors
    ///
    /// Returns [`SuspectRefusal::KillsTargets`] for a request that has to be refused.
    pub fn check(self) -> Result<()> {
        match self {
            Self::Clear | Self::Suspect { .. } => Ok(()),
            Self::Refused { alone_deaths } => Err(SuspectRefusal::KillsTargets { alone_deaths }),
        }
    }
}

/// Fingerprints that were running when a target died.
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

    /// Raises suspicion of every request that was `running` and returns what peers should know.
    pub fn record_death(
        &mut self,
        death: &TargetDeath,
        running: &[RunningRow],
    ) -> Vec<SuspectVerdict> {
        let first = running.first().map(|row| row.fingerprint);
        let is_same = running.iter().all(|row| Some(row.fingerprint) == first);
        for row in running {
            let record = DeathRecord {
                is_alone: death.is_whole_view && is_same,
                at_unix_ms: death.at_unix_ms,
                is_forgiven: false,
                ran_for: row.ran_for,
            };
            self.row(row.fingerprint).add(death.mark.clone(), record);
        }
        let mut changed: Vec<_> = running.iter().map(|row| row.fingerprint).collect();
        changed.extend(self.forgive_explained(death.at_unix_ms));
        self.bound(death.at_unix_ms);
        self.verdicts(changed)
    }

    /// Clears a request that finished; returns what peers should know, if that was news.
    pub fn record_finish(&mut self, fingerprint: BodyFingerprint) -> Option<SuspectVerdict> {
        let row = self.rows.get_mut(&fingerprint)?;
        row.forgive(|_| true).then(|| row.clone())
    }

    /// Takes in a peer's verdict; returns whether it was news.
    pub fn merge(&mut self, verdict: &SuspectVerdict, unix_ms: u64) -> bool {
        let is_news = self.row(verdict.fingerprint).merge(verdict);
        if is_news {
            self.forgive_explained(unix_ms);
        }
        self.bound(unix_ms);
        is_news
    }

    /// How `fingerprint` may run.
    #[must_use]
    pub fn level(&self, fingerprint: &BodyFingerprint, unix_ms: u64) -> SuspectLevel {
        let row = self.rows.get(fingerprint);
        row.map_or(SuspectLevel::Clear, |row| {
            level_of(row, &self.settings, unix_ms)
        })
    }

    /// What is known of `fingerprint`.
    #[must_use]
    pub fn verdict(&self, fingerprint: &BodyFingerprint) -> Option<&SuspectVerdict> {
        self.rows.get(fingerprint)
    }

    /// Removes what is out of date.
    pub fn prune(&mut self, unix_ms: u64) {
        let expiry = self.settings.expiry;
        for (_, row) in self.rows.iter_mut() {
            row.deaths
                .retain(|_, record| is_live(record, expiry, unix_ms));
        }
        self.rows.retain(|_, row| !row.deaths.is_empty());
    }

    /// Every row, to send all of them to a peer.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &SuspectVerdict> {
        self.rows.rows()
    }

    fn row(&mut self, fingerprint: BodyFingerprint) -> &mut SuspectVerdict {
        let make = || SuspectVerdict::new(fingerprint);
        self.rows.get_or_insert_with(fingerprint, make)
    }

    /// Clears the innocents: a refused request explains the deaths it took part in.
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
            let is_explained = |mark: &DeathMark| {
                let has_part = |other: &SuspectVerdict| {
                    other.fingerprint != *fingerprint && other.deaths.contains(mark)
                };
                refused.iter().any(has_part)
            };
            if row.forgive(is_explained) {
                forgiven.push(*fingerprint);
            }
        }
        forgiven
    }

    /// Drops the least suspect rows, the oldest first, until the rows fit.
    fn bound(&mut self, unix_ms: u64) {
        if self.rows.len() <= self.settings.max_rows {
            return;
        }
        self.prune(unix_ms);
        let weight = |row: &SuspectVerdict| {
            let latest = row.deaths.rows().map(|record| record.at_unix_ms).max();
            (
                level_of(row, &self.settings, unix_ms),
                latest,
                row.fingerprint,
            )
        };
        let mut order: Vec<_> = self.rows.rows().map(weight).collect();
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
