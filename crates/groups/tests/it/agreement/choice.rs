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

fn based(in_doubt: Option<MapProposal>) -> RankReport {
    report(proposal(1, 1, OPENING), in_doubt)
}

#[parameterized(
    choose_all_fresh = { &[fresh(), fresh()], 0 },
    choose_committed_stays = { &[based(None), report(proposal(1, 2, CHANGE), None)], 2 },
    choose_doubt_of_all = { &[based(Some(proposal(1, 2, CHANGE))), based(Some(proposal(1, 2, CHANGE)))], 2 },
    choose_doubt_beside_fresh = { &[based(Some(proposal(1, 2, CHANGE))), fresh()], 2 },
    choose_doubt_missed_by_one = { &[based(Some(proposal(1, 2, CHANGE))), based(None)], 1 },
    choose_two_doubts = { &[based(Some(proposal(1, 2, CHANGE))), based(Some(proposal(1, 3, CHANGE)))], 1 },
    choose_accepted_opening = { &[based(Some(proposal(2, 2, OPENING))), based(Some(proposal(1, 3, CHANGE)))], 2 },
    choose_newest_opening = { &[based(Some(proposal(2, 2, OPENING))), based(Some(proposal(3, 1, OPENING)))], 1 },
)]
fn choose(reports: &[RankReport], version: u64) {
    assert_eq!(choose_opening(reports).version, MapVersion::new(version));
}

#[test]
fn choose_keeps_limits() {
    let old = RankReport {
        floor: MapVersion::new(9),
        step: StepNumber::new(7),
        ..fresh()
    };
    let choice = choose_opening(&[old, based(Some(proposal(1, 2, CHANGE)))]);
    assert_eq!(choice.floor, MapVersion::new(9));
    assert_eq!(choice.step, StepNumber::new(7));
    assert_eq!(choice.settle, StepNumber::new(20));
}
