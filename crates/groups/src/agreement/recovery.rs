//! Choice of the first map of a new generation.

use amaranthgw_core::{MapVersion, StepNumber};

use super::{MapProposal, RankReport};

/// First map of a generation and the state carried over into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpeningChoice {
    /// Version to use; 0 is the static map, which has no record.
    pub version: MapVersion,
    /// First step of the generation.
    pub step: StepNumber,
    /// Highest version that any rank accepted or refused.
    pub floor: MapVersion,
    /// Last step for which a switch order of an older generation may still arrive at an engine.
    pub settle: StepNumber,
}

/// Chooses the first map of a generation from the reports of all its ranks.
///
/// The version is that of the newest proposal that is either committed at any rank or an opening
/// accepted by any rank. An accepted opening counts even if not committed, because it was chosen by
/// this same rule. A newer change in doubt is rolled forward if every rank that is not fresh
/// reports it in doubt: only then can a rank that has since lost its state have committed it.
#[must_use]
pub fn choose_opening(reports: &[RankReport]) -> OpeningChoice {
    let kept = reports
        .iter()
        .flat_map(kept_proposals)
        .max_by_key(MapProposal::sort_key);
    let rolled_forward = unanimous_change(reports).filter(|change| is_newer(change, kept.as_ref()));
    let version = rolled_forward
        .or(kept)
        .map_or(MapVersion::default(), |proposal| proposal.version);
    let steps = reports.iter().flat_map(ordered_steps);
    OpeningChoice {
        version,
        step: reports
            .iter()
            .map(|report| report.step)
            .max()
            .unwrap_or_default(),
        floor: reports
            .iter()
            .map(|report| report.floor)
            .max()
            .unwrap_or_default()
            .max(version),
        settle: steps.max().unwrap_or_default(),
    }
}

fn kept_proposals(report: &RankReport) -> impl Iterator<Item = MapProposal> {
    let accepted_opening = report.in_doubt.filter(MapProposal::is_opening);
    report.committed.into_iter().chain(accepted_opening)
}

fn unanimous_change(reports: &[RankReport]) -> Option<MapProposal> {
    let mut informed = reports.iter().filter(|report| !report.is_fresh());
    let change = informed.next()?.in_doubt?;
    let is_unanimous = informed.all(|report| report.in_doubt == Some(change));
    is_unanimous.then_some(change)
}

fn is_newer(change: &MapProposal, kept: Option<&MapProposal>) -> bool {
    kept.is_none_or(|kept| change.sort_key() > kept.sort_key())
}

fn ordered_steps(report: &RankReport) -> impl Iterator<Item = StepNumber> {
    let proposals = report.committed.into_iter().chain(report.in_doubt);
    proposals
        .map(|proposal| proposal.step)
        .chain([report.settle])
}
