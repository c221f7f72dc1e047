//! Merging, size limits and expiry of suspect records.

use amaranthgw_core::{MilliSpan, StartMark};
use amaranthgw_fleet::claims::BodyFingerprint;
use amaranthgw_fleet::suspects::{
    DeathId, DeathRecord, RunningRow, SuspectLevel, SuspectSettings, SuspectTable, SuspectVerdict,
    TargetDeath,
};
use proptest::prelude::*;

pub fn fingerprint(body: u32) -> BodyFingerprint {
    let service = "draft-llm".parse().expect("valid id");
    BodyFingerprint::new(&service, "generate", &body.to_le_bytes())
}

pub fn death(target: usize, mark: u64, at_unix_ms: u64) -> TargetDeath {
    TargetDeath {
        id: DeathId {
            target: format!("t-{target}").parse().expect("valid id"),
            mark: StartMark::new(mark),
        },
        at_unix_ms,
        is_whole_view: true,
    }
}

pub fn running(bodies: &[u32]) -> Vec<RunningRow> {
    let row = |body: &u32| RunningRow {
        fingerprint: fingerprint(*body),
        ran_for: MilliSpan::new(5),
    };
    bodies.iter().map(row).collect()
}

fn any_verdict() -> impl Strategy<Value = SuspectVerdict> {
    let record = (0..14_usize, any::<bool>(), 0..4_u64, any::<bool>());
    prop::collection::vec(record, 0..12).prop_map(|records| {
        let mut verdict = SuspectVerdict::new(fingerprint(0));
        for (target, is_alone, at_unix_ms, is_forgiven) in records {
            let record = DeathRecord {
                is_alone,
                at_unix_ms,
                is_forgiven,
                ran_for: MilliSpan::new(5),
            };
            let mut one = SuspectVerdict::new(fingerprint(0));
            one.deaths.insert(death(target, 1, 0).id, record);
            verdict.merge(&one);
        }
        verdict
    })
}

fn merged(left: &SuspectVerdict, right: &SuspectVerdict) -> SuspectVerdict {
    let mut verdict = left.clone();
    verdict.merge(right);
    verdict
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn merge_any_order(a in any_verdict(), b in any_verdict(), c in any_verdict()) {
        prop_assert_eq!(&merged(&a, &b), &merged(&b, &a));
        let left = merged(&merged(&a, &b), &c);
        let right = merged(&a, &merged(&b, &c));
        prop_assert_eq!(&left, &right);
        prop_assert_eq!(&merged(&left, &b), &left);
        prop_assert!(left.deaths.len() <= SuspectVerdict::MAX_DEATHS);
        prop_assert!(!left.clone().merge(&a), "merging a known part changes nothing");
    }

    #[test]
    fn serialize_round_trip(verdict in any_verdict()) {
        let json = serde_json::to_string(&verdict).expect("a verdict can be sent as JSON");
        let read: SuspectVerdict = serde_json::from_str(&json).expect("JSON of a verdict");
        prop_assert_eq!(read, verdict);
    }
}

#[test]
fn record_death_bounded_memory() {
    let max_rows = 16;
    let settings = SuspectSettings {
        max_rows,
        ..SuspectSettings::default()
    };
    let mut table = SuspectTable::new(settings);
    for mark in 1..=2 {
        table.record_death(&death(0, mark, mark), &running(&[7]));
    }
    for body in 100..200 {
        let at_unix_ms = u64::from(body);
        table.record_death(
            &death(1, at_unix_ms, at_unix_ms),
            &running(&[body, body + 1]),
        );
        assert!(table.rows().len() <= max_rows);
    }
    let refused = SuspectLevel::Refused { alone_deaths: 2 };
    assert_eq!(table.level(&fingerprint(7), 200), refused);
}

/// Deaths of targets that ran nothing else are kept when later deaths of busier targets exceed
/// `MAX_DEATHS`.
#[test]
fn record_death_keeps_alone_deaths() {
    let mut table = SuspectTable::new(SuspectSettings::default());
    for mark in 1..=2 {
        table.record_death(&death(0, mark, mark), &running(&[7]));
        table.record_finish(fingerprint(7));
    }
    for mark in 10..30 {
        table.record_death(&death(3, mark, mark), &running(&[7, 8]));
    }
    let refused = SuspectLevel::Refused { alone_deaths: 2 };
    assert_eq!(table.level(&fingerprint(7), 30), refused);
}

#[test]
fn level_after_expiry() {
    let settings = SuspectSettings::default();
    let expiry_ms = settings.expiry.millis();
    let mut table = SuspectTable::new(settings);
    table.record_death(&death(0, 1, 0), &running(&[7]));
    let suspect = SuspectLevel::Suspect { deaths: 1 };
    assert_eq!(table.level(&fingerprint(7), expiry_ms - 1), suspect);
    assert_eq!(table.level(&fingerprint(7), expiry_ms), SuspectLevel::Clear);
    table.prune(expiry_ms);
    assert_eq!(table.rows().len(), 0);
}
