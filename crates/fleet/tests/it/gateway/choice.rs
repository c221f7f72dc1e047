//! Load-balancing policies.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{DomainId, RequestRate, TargetId};
use amaranthgw_fleet::gateway::{
    ChoiceInput, ChoicePolicy, ColdShare, GroupGauge, LeastLoadedPolicy, RoundRobinPolicy,
    TargetCandidate, TargetGauge,
};
use tokio::time::Instant;

use super::entry;

fn candidate(id: &str, now: Instant) -> TargetCandidate {
    TargetCandidate {
        record: entry(id, 1, 1).record,
        gauge: Arc::new(TargetGauge::new(now)),
        cold_until: now,
        limited_until: now,
        group: None,
    }
}

fn set_cold(target: &mut TargetCandidate, until: Instant) {
    target.cold_until = until;
    target.limited_until = until;
}

fn choose<'a>(
    policy: &dyn ChoicePolicy,
    targets: &'a [TargetCandidate],
    tried: &[TargetId],
    now: Instant,
) -> Option<&'a str> {
    let domain: DomainId = "domain-a".parse().expect("domain");
    let input = ChoiceInput {
        tried,
        domain: &domain,
        // Two requests per slot of 95 ms.
        cold_share: Some(ColdShare::new(RequestRate::new(28), 1)),
        now,
    };
    policy
        .choose(targets, &input)
        .map(|target| target.record.target.as_str())
}

#[test]
fn choose_least_loaded() {
    let now = Instant::now();
    let targets = [candidate("a", now), candidate("b", now)];
    let _busy: Vec<_> = (0..3)
        .map(|_| TargetGauge::begin_request(&targets[0].gauge))
        .collect();
    for _ in 0..20 {
        assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("b"));
    }
}

#[test]
fn choose_reported_load_fades() {
    let now = Instant::now();
    let targets = [candidate("a", now), candidate("b", now)];
    targets[0].gauge.record_load(8, now);
    let _one = TargetGauge::begin_request(&targets[1].gauge);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("b"));
    let later = now + Duration::from_secs(10);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], later), Some("a"));
}

#[test]
fn choose_ejected_returns() {
    let now = Instant::now();
    let targets = [candidate("a", now), candidate("b", now)];
    let ejection = targets[0].gauge.record_failure(now);
    let _busy: Vec<_> = (0..6)
        .map(|_| TargetGauge::begin_request(&targets[1].gauge))
        .collect();
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("b"));
    assert_eq!(
        choose(&LeastLoadedPolicy, &targets, &[], now + ejection),
        Some("a")
    );
}

#[test]
fn choose_all_ejected() {
    let now = Instant::now();
    let targets = [candidate("a", now)];
    targets[0].gauge.record_failure(now);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("a"));
}

#[test]
fn choose_displaced_never() {
    let now = Instant::now();
    let targets = [candidate("a", now)];
    targets[0].gauge.record_displacement(now);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), None);
}

#[test]
fn choose_rejecting_skipped() {
    let now = Instant::now();
    let targets = [candidate("a", now)];
    targets[0].gauge.record_rejection(now);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), None);
    let later = now + Duration::from_millis(200);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], later), Some("a"));
}

#[test]
fn choose_cold_within_limit() {
    let now = Instant::now();
    let mut targets = [candidate("a", now)];
    set_cold(&mut targets[0], now + Duration::from_secs(3));
    let chosen = (0..10).filter(|_| choose(&LeastLoadedPolicy, &targets, &[], now).is_some());
    assert_eq!(chosen.count(), 2);
    let later = now + Duration::from_millis(1_001);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], later), Some("a"));
}

#[test]
fn choose_cold_without_share() {
    let now = Instant::now();
    let mut targets = [candidate("a", now), candidate("b", now)];
    set_cold(&mut targets[0], now + Duration::from_secs(3));
    let domain: DomainId = "domain-a".parse().expect("domain");
    let input = ChoiceInput {
        tried: &[],
        domain: &domain,
        cold_share: None,
        now,
    };
    let chosen = LeastLoadedPolicy.choose(&targets, &input);
    let chosen = chosen.map(|target| target.record.target.as_str());
    assert_eq!(chosen, Some("b"));
    assert!(LeastLoadedPolicy.choose(&targets[..1], &input).is_none());
    // The share may be known any moment.
    assert_eq!(input.next_admission(&targets[..1]), None);
}

#[test]
fn choose_maybe_cold_without_penalty() {
    let now = Instant::now();
    let mut targets = [candidate("a", now), candidate("b", now)];
    targets[0].limited_until = now + Duration::from_secs(3);
    let _busy = TargetGauge::begin_request(&targets[1].gauge);
    let chosen: Vec<_> = (0..3)
        .filter_map(|_| choose(&LeastLoadedPolicy, &targets, &[], now))
        .collect();
    assert_eq!(chosen, ["a", "a", "b"]);
    set_cold(&mut targets[0], now + Duration::from_secs(3));
    let later = now + Duration::from_secs(1);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], later), Some("b"));
}

#[test]
fn choose_tried_skipped() {
    let now = Instant::now();
    let targets = [candidate("a", now), candidate("b", now)];
    let tried = [targets[0].record.target.clone()];
    for policy in [
        &LeastLoadedPolicy as &dyn ChoicePolicy,
        &RoundRobinPolicy::default(),
    ] {
        assert_eq!(
            choose(policy, &targets, &tried, now),
            Some("b"),
            "{}",
            policy.name()
        );
    }
}

#[test]
fn choose_other_group_than_stalled() {
    let now = Instant::now();
    let group = |name: &str| Some(Arc::new(GroupGauge::new(name.parse().expect("group"), now)));
    let mut targets = [candidate("a", now), candidate("b", now)];
    (targets[0].group, targets[1].group) = (group("g-1"), group("g-2"));
    let _busy: Vec<_> = (0..3)
        .map(|_| TargetGauge::begin_request(&targets[1].gauge))
        .collect();
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("a"));
    for target in &targets[..1] {
        target.group.as_ref().expect("group").suspect(now);
    }
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("b"));
    targets[1].group.as_ref().expect("group").suspect(now);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("a"));
}

#[test]
fn choose_other_than_slow() {
    let now = Instant::now();
    let targets = [candidate("a", now), candidate("b", now)];
    let _busy: Vec<_> = (0..3)
        .map(|_| TargetGauge::begin_request(&targets[1].gauge))
        .collect();
    targets[0].gauge.record_slow(now);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], now), Some("b"));
    let later = now + Duration::from_secs(2);
    assert_eq!(choose(&LeastLoadedPolicy, &targets, &[], later), Some("a"));
}

#[test]
fn next_admission_cold_slot() {
    let now = Instant::now();
    let mut targets = [candidate("a", now)];
    set_cold(&mut targets[0], now + Duration::from_mins(1));
    let domain: DomainId = "domain-a".parse().expect("domain");
    let share = ColdShare::new(RequestRate::new(1), 30);
    let input = |now| ChoiceInput {
        tried: &[],
        domain: &domain,
        cold_share: Some(share),
        now,
    };
    let at = input(now).next_admission(&targets).expect("a time");
    assert!(at < now + share.slot());
    let at = at + Duration::from_millis(1);
    assert!(LeastLoadedPolicy.choose(&targets, &input(at)).is_some());
    let next = input(at).next_admission(&targets).expect("a time");
    assert!(next > at + share.slot() / 2);
}

#[test]
fn next_admission_rejecting_or_none() {
    let now = Instant::now();
    let targets = [candidate("a", now)];
    targets[0].gauge.record_rejection(now);
    let domain: DomainId = "domain-a".parse().expect("domain");
    let tried = [targets[0].record.target.clone()];
    let mut input = ChoiceInput {
        tried: &[],
        domain: &domain,
        cold_share: None,
        now,
    };
    let at = input.next_admission(&targets).expect("a time");
    assert!(at > now && at <= now + Duration::from_millis(200));
    input.tried = &tried;
    assert_eq!(input.next_admission(&targets), None);
}

#[test]
fn next_admission_displaced_unknown() {
    let now = Instant::now();
    let targets = [candidate("a", now), candidate("b", now)];
    targets[0].gauge.record_rejection(now);
    targets[1].gauge.record_displacement(now);
    let domain: DomainId = "domain-a".parse().expect("domain");
    let input = ChoiceInput {
        tried: &[],
        domain: &domain,
        cold_share: None,
        now,
    };
    assert!(input.next_admission(&targets[..1]).is_some());
    assert_eq!(input.next_admission(&targets), None);
}
