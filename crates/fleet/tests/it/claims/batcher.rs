use std::collections::BTreeMap;
use std::time::Duration;

use amaranthgw_core::{ByteCount, StoreRevision};
use amaranthgw_fleet::claims::{
    ClaimBatcher, ClaimError, ClaimGrant, ClaimId, ClaimRefusal, ClaimSettings, ClaimShard,
    ClaimState, ClaimVerdict, ClockReading, KeyHash, ShardNumber, StoreOperation, StoreReply,
    StoredAnswer,
};
use tokio::time::Instant;
use yare::parameterized;

use super::harness::{settings, submission};

const UNIX_MS: u64 = 1_000_000;

/// One batcher on a simulated value that answers every call.
struct Fixture {
    batcher: ClaimBatcher,
    now: Instant,
    unix_ms: u64,
    revision: u64,
    content: ClaimShard,
    serial: u64,
}

impl Fixture {
    fn new(settings: ClaimSettings) -> Self {
        let now = Instant::now();
        Self {
            batcher: ClaimBatcher::new(ShardNumber::new(0), settings, now),
            now,
            unix_ms: UNIX_MS,
            revision: 0,
            content: ClaimShard::new(),
            serial: 0,
        }
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            now: self.now,
            unix_ms: self.unix_ms,
        }
    }

    fn claim(&mut self, key: u8, body: u8) -> ClaimVerdict {
        self.submit(key, body);
        self.settle().pop().expect("a verdict")
    }

    fn submit(&mut self, key: u8, body: u8) -> ClaimId {
        self.serial += 1;
        let submission = submission(self.serial, key, body, self.now + Duration::from_mins(1));
        let id = submission.id;
        self.batcher.submit(submission, self.now);
        id
    }

    fn settle(&mut self) -> Vec<ClaimVerdict> {
        let mut verdicts = Vec::new();
        let mut output = self.batcher.tick(self.clock());
        for _ in 0..6 {
            verdicts.extend(output.verdicts.drain(..).map(|(_, verdict)| verdict));
            self.now += Duration::from_secs(1);
            output = match output.call.take() {
                Some(call) => {
                    let reply = self.reply_to(call.operation);
                    self.batcher.reply(call.number, reply, self.clock())
                }
                None => self.batcher.tick(self.clock()),
            };
        }
        verdicts
    }

    fn reply_to(&mut self, operation: StoreOperation) -> StoreReply {
        if let StoreOperation::Swap { content, .. } = operation {
            self.revision += 1;
            self.content = content;
            let revision = StoreRevision::new(self.revision);
            return StoreReply::Swapped { revision };
        }
        StoreReply::Value {
            revision: StoreRevision::new(self.revision),
            content: self.content.clone(),
        }
    }

    fn grant(&mut self, key: u8) -> ClaimGrant {
        match self.claim(key, 0) {
            ClaimVerdict::Granted(grant) => grant,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn submit_shard_full() {
    let max_value = ByteCount::new(2_000);
    let mut fixture = Fixture::new(ClaimSettings {
        max_value,
        ..settings()
    });
    let mut grants = Vec::new();
    let refusal = (0..u8::MAX).find_map(|key| match fixture.claim(key, 0) {
        ClaimVerdict::Granted(grant) => {
            grants.push(grant);
            None
        }
        other => Some(other),
    });
    let full = ClaimVerdict::Refused(ClaimRefusal::ShardFull);
    assert_eq!(refusal, Some(full));
    for grant in &grants {
        let body = vec![b'"'; 64];
        let answer = StoredAnswer::new(200, &body, 64);
        fixture.batcher.finish(grant, answer, fixture.now);
    }
    fixture.settle();
    let encoded = serde_json::to_vec(&fixture.content).expect("encodes");
    assert!(encoded.len() <= 2_000, "{} bytes", encoded.len());
    let mut entries = fixture.content.iter();
    assert!(entries.all(|(_, entry)| entry.state != ClaimState::Running));
    assert!(!grants.is_empty());
}

#[parameterized(
    submit_again_same_body = { 0, ClaimVerdict::OutcomeUnknown { made_at_unix_ms: UNIX_MS } },
    submit_again_other_body = { 1, ClaimVerdict::Refused(ClaimRefusal::KeyReused) },
)]
fn submit_again(body: u8, expected: ClaimVerdict) {
    let mut fixture = Fixture::new(settings());
    fixture.grant(0);
    assert_eq!(fixture.claim(0, body), expected);
}

#[test]
fn submit_unreadable_value_unchanged() {
    let mut fixture = Fixture::new(settings());
    let id = fixture.submit(0, 0);
    let call = fixture.batcher.tick(fixture.clock()).call.expect("a read");
    assert_eq!(call.operation, StoreOperation::Read);
    let output = fixture
        .batcher
        .reply(call.number, StoreReply::Unreadable, fixture.clock());
    let refused = ClaimVerdict::Refused(ClaimRefusal::Unreadable);
    assert_eq!(output.call, None);
    assert_eq!(output.verdicts, [(id, refused)]);
}

#[test]
fn tick_many_claims_one_write() {
    let mut fixture = Fixture::new(settings());
    fixture.grant(99);
    let writes_before = fixture.revision;
    for key in 0..40 {
        fixture.submit(key, 0);
    }
    let verdicts = fixture.settle();
    let is_granted = |verdict: &&ClaimVerdict| matches!(verdict, ClaimVerdict::Granted(_));
    let granted = verdicts.iter().filter(is_granted).count();
    assert_eq!(granted, 40);
    assert_eq!(fixture.revision, writes_before + 1);
}

/// A key must not be granted again within its retention, even if the wall clock of the pruning
/// process runs ahead by twice the allowed skew.
#[parameterized(
    submit_after_within_retention = { 59_999, false },
    submit_after_within_skew = { 61_999, false },
    submit_after_retention_and_skew = { 62_001, true },
)]
fn submit_after(passed_ms: u64, expect_granted: bool) {
    let mut fixture = Fixture::new(settings());
    fixture.grant(0);
    fixture.unix_ms += passed_ms;
    let verdict = fixture.claim(0, 0);
    let is_granted = matches!(verdict, ClaimVerdict::Granted(_));
    assert_eq!(is_granted, expect_granted, "{verdict:?}");
}

#[test]
fn shard_spreads_keys() {
    let mut counts = BTreeMap::new();
    let workspace = "tartu".parse().expect("valid id");
    for order in 0..6_400 {
        let key = format!("order-{order}").parse().expect("valid key");
        let shard = KeyHash::new(&workspace, &key).shard();
        *counts.entry(shard).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 64);
    assert!(
        counts.values().all(|count| (50..150).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn check_grant_after_pause() {
    let mut fixture = Fixture::new(settings());
    let grant = fixture.grant(0);
    assert_eq!(grant.check(fixture.now), Ok(()));
    let resumed_at = fixture.now + Duration::from_mins(1);
    assert_eq!(grant.check(resumed_at), Err(ClaimError::GrantExpired));
}

#[test]
fn key_hash_stored_format() {
    let key = |workspace: &str, key: &str| {
        KeyHash::new(
            &workspace.parse().expect("valid id"),
            &key.parse().expect("valid key"),
        )
    };
    assert_ne!(key("ab", "c"), key("a", "bc"));
    let hash = key("tartu", "order-1");
    assert_eq!(hash.to_string(), "e37d090650772ce7d91841866d173711");
    assert_eq!(hash.to_string().parse(), Ok(hash));
    assert_eq!(hash.shard(), ShardNumber::new(17));
}
