//! Choice of the first map of a generation: a map that a rank may have committed must be kept.

use amaranthgw_core::{GroupGeneration, MapVersion, RankId, StepNumber};
use amaranthgw_groups::agreement::{MapProposal, ProposalKind, RankReport, choose_opening};
use yare::parameterized;

const OPENING: ProposalKind = ProposalKind::Opening;
const CHANGE: ProposalKind = ProposalKind::Change;

fn proposal(generation: u64, version: u64, kind: ProposalKind) -> MapProposal {
    MapProposal {
        generation: GroupGeneration::new(generation),
        version: MapVersion::new(version),
        step: StepNumber::new(10 * version),
        proposer: RankId::new(0),
        kind,
    }
}

fn report(committed: MapProposal, in_doubt: Option<MapProposal>) -> RankReport {
    RankReport {
        committed: Some(committed),
        in_doubt,
        ..RankReport::default()
    }
}

fn fresh() -> RankReport {
    RankReport::default()
}

/// Report of a rank that has committed the opening of generation 1 with version 1.
fn after_opening(in_doubt: Option<MapProposal>) -> RankReport {
    report(proposal(1, 1, OPENING), in_doubt)
}

#[parameterized(
    choose_all_fresh = { &[fresh(), fresh()], 0 },
    choose_committed_stays = { &[after_opening(None), report(proposal(1, 2, CHANGE), None)], 2 },
    choose_in_doubt_at_all = { &[after_opening(Some(proposal(1, 2, CHANGE))), after_opening(Some(proposal(1, 2, CHANGE)))], 2 },
    choose_in_doubt_with_fresh = { &[after_opening(Some(proposal(1, 2, CHANGE))), fresh()], 2 },
    choose_in_doubt_missed_by_one = { &[after_opening(Some(proposal(1, 2, CHANGE))), after_opening(None)], 1 },
    choose_two_in_doubt = { &[after_opening(Some(proposal(1, 2, CHANGE))), after_opening(Some(proposal(1, 3, CHANGE)))], 1 },
    choose_accepted_opening = { &[after_opening(Some(proposal(2, 2, OPENING))), after_opening(Some(proposal(1, 3, CHANGE)))], 2 },
    choose_newest_opening = { &[after_opening(Some(proposal(2, 2, OPENING))), after_opening(Some(proposal(3, 1, OPENING)))], 1 },
)]
fn choose(reports: &[RankReport], version: u64) {
    assert_eq!(choose_opening(reports).version, MapVersion::new(version));
}

#[test]
fn choose_carries_floor_step_and_settle() {
    let old = RankReport {
        floor: MapVersion::new(9),
        step: StepNumber::new(7),
        ..fresh()
    };
    let choice = choose_opening(&[old, after_opening(Some(proposal(1, 2, CHANGE)))]);
    assert_eq!(choice.floor, MapVersion::new(9));
    assert_eq!(choice.step, StepNumber::new(7));
    assert_eq!(choice.settle, StepNumber::new(20));
}
