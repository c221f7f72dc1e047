use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision, VmId};
use amaranthgw_fleet::config::{
    ChangeId, ConfigError, ConfigFollower, ConfigMessage, ConfigOffer, ConfigPull, ConfigPush,
    FollowerEffect, RelayTopology, RelayVm, ServingState, StoreCall, StoreReply,
};
use tokio::time::{Duration, Instant};
use yare::parameterized;

use super::fixtures::{StoreModel, accept, id, read, set_plan, set_workspace};

/// Creates a store with `count` small changes.
fn filled(count: u32) -> (StoreModel, Instant) {
    let now = Instant::now();
    let mut store = StoreModel::default();
    for index in 1..=count {
        accept(
            &mut store,
            u128::from(index),
            vec![set_plan("p0", index)],
            now,
        );
    }
    (store, now)
}

fn follower(store: &StoreModel, now: Instant) -> ConfigFollower {
    let mut follower = ConfigFollower::new(1, now);
    let effects = follower.on_reply(store.old_log(0), now);
    assert_eq!(effects[0], FollowerEffect::Applied(follower.number()));
    follower
}

/// A read may return an older log. Counting it as a confirmation would hide that newer changes
/// exist.
#[test]
fn on_reply_old_log_confirms_nothing() {
    let (store, now) = filled(5);
    let mut follower = follower(&store, now);
    let later = now + Duration::from_secs(3);
    assert_eq!(follower.on_reply(store.old_log(2), later), []);
    assert_eq!(follower.number(), ChangeNumber::new(5));
    assert_eq!(follower.age(later), Some(MilliSpan::new(3_000)));
    follower.on_reply(store.old_log(0), later);
    assert_eq!(follower.age(later), Some(MilliSpan::new(0)));
}

/// The log contains a different change under a number that is already applied. Later changes must
/// not be applied on top of it.
#[test]
fn on_reply_other_history_diverges() {
    let (store, now) = filled(5);
    let mut follower = follower(&store, now);
    let before = follower.state().clone();
    let (mut log, _) = store.log();
    log.changes[4].id = ChangeId::new(99);
    let mut next = log.changes[4].clone();
    next.number = next.number.next();
    log.changes.push(next);
    let revision = StoreRevision::new(1_000);
    let effects = follower.on_reply(StoreReply::Log { log, revision }, now);
    assert_eq!(effects, [FollowerEffect::Diverged(ChangeNumber::new(5))]);
    assert_eq!(follower.state(), &before);
}

#[test]
fn on_message_invalid_base_refused() {
    let (store, now) = filled(2);
    let mut follower = follower(&store, now);
    let before = follower.state().clone();
    let (mut other, _) = filled(1);
    accept(&mut other, 7, vec![set_workspace("w1", "p0")], now);
    let base = ServingState {
        number: ChangeNumber::new(9),
        workspaces: read(&mut other, now).state.workspaces,
        ..ServingState::default()
    };
    let push = ConfigPush {
        base: Some(Box::new(base)),
        changes: Vec::new(),
    };
    let effects = follower.on_message(&id("peer"), ConfigMessage::Push(push), now);
    let refused = FollowerEffect::Refused(ConfigError::UnknownPlan {
        workspace: id("w1"),
        plan: id("p0"),
    });
    assert_eq!(effects, [refused]);
    assert_eq!(follower.state(), &before);
}

#[test]
fn on_message_pull_answers() {
    let (store, now) = filled(200);
    let mut follower = ConfigFollower::new(1, now);
    let mut effects = follower.on_reply(store.old_log(0), now);
    while let Some(FollowerEffect::Store(call)) = effects.first() {
        assert!(
            matches!(call, StoreCall::ReadBase { .. }),
            "the log starts at a base"
        );
        effects = follower.on_reply(store.clone().call(call), now);
    }
    assert_eq!(follower.number(), ChangeNumber::new(200));
    let mut answer = |after: u64| {
        let pull = ConfigPull {
            after: ChangeNumber::new(after),
        };
        let effects = follower.on_message(&id("peer"), ConfigMessage::Pull(pull), now);
        match effects.into_iter().next() {
            Some(FollowerEffect::Send { message, .. }) => message,
            other => panic!("{other:?}"),
        }
    };
    let ConfigMessage::Push(recent) = answer(198) else {
        panic!("expected a push")
    };
    assert_eq!(
        (recent.base, recent.changes),
        (None, store.history[198..].to_vec())
    );
    let ConfigMessage::Push(whole) = answer(0) else {
        panic!("expected a push")
    };
    assert_eq!(
        whole.base.map(|base| base.number),
        Some(ChangeNumber::new(200))
    );
    let offer = ConfigMessage::Offer(ConfigOffer {
        number: ChangeNumber::new(200),
        age: MilliSpan::new(0),
    });
    assert_eq!(answer(200), offer);
}

/// Creates a follower in a failure domain of three nodes and returns the other two identifiers.
fn follower_with_peers(now: Instant) -> (ConfigFollower, [VmId; 2]) {
    let vms = ["vm-1", "vm-2", "vm-3"].map(|vm| RelayVm {
        vm: id(vm),
        domain: id("domain"),
    });
    let mut follower = ConfigFollower::new(1, now);
    follower.set_relay(RelayTopology::new(&vms[0].vm, &vms[0].domain, &vms));
    (follower, [vms[1].vm.clone(), vms[2].vm.clone()])
}

#[test]
fn on_message_push_is_forwarded() {
    let (store, now) = filled(1);
    let (mut follower, [sender, other]) = follower_with_peers(now);
    let message = ConfigMessage::Push(ConfigPush {
        base: None,
        changes: store.history,
    });
    let effects = follower.on_message(&sender, message.clone(), now);
    let applied = FollowerEffect::Applied(ChangeNumber::new(1));
    let forwarded = FollowerEffect::Send {
        peer: other,
        message: message.clone(),
    };
    assert_eq!(effects, [applied, forwarded]);
    assert_eq!(
        follower.on_message(&sender, message, now),
        [],
        "a duplicate is not forwarded"
    );
}

#[test]
fn tick_fresh_node_pulls_from_peer() {
    let (mut follower, peers) = follower_with_peers(Instant::now());
    let effects = follower.tick(Instant::now());
    let is_pull = |effect: &FollowerEffect| match effect {
        FollowerEffect::Send { peer, message } => {
            peers.contains(peer) && matches!(message, ConfigMessage::Pull(_))
        }
        _ => false,
    };
    assert!(effects.iter().any(is_pull), "{effects:?}");
}

#[test]
fn message_serde_round_trip() {
    let (store, _) = filled(3);
    let messages = [
        ConfigMessage::Pull(ConfigPull {
            after: ChangeNumber::new(2),
        }),
        ConfigMessage::Push(ConfigPush {
            base: Some(Box::new(store.state_at(ChangeNumber::new(2)))),
            changes: store.history,
        }),
    ];
    for message in messages {
        let text = serde_json::to_string(&message).expect("serialises");
        assert_eq!(
            serde_json::from_str::<ConfigMessage>(&text).expect("deserialises"),
            message
        );
    }
}

/// Returns the number of calls to the key-value service in each second by the nodes of one of 36
/// failure domains. No messages arrive, and every call returns `reply`.
fn fallback_calls(reply: &StoreReply, seconds: usize) -> Vec<usize> {
    const DOMAINS: usize = 36;
    const DOMAIN_SIZE: usize = 325;
    let vms: Vec<_> = (0..DOMAINS * DOMAIN_SIZE)
        .map(|index| RelayVm {
            vm: id(&format!("vm-{index}")),
            domain: id(&format!("domain-{}", index % DOMAINS)),
        })
        .collect();
    let start = Instant::now();
    let nodes = vms.iter().filter(|row| row.domain == vms[0].domain);
    let mut followers: Vec<_> = nodes
        .zip(0..)
        .map(|(row, seed)| {
            let mut follower = ConfigFollower::new(seed, start);
            follower.set_relay(RelayTopology::new(&row.vm, &row.domain, &vms));
            let offer = ConfigOffer {
                number: ChangeNumber::new(0),
                age: MilliSpan::new(0),
            };
            // An offer of age 0 confirms the empty state, so that the timeout starts now.
            follower.on_message(&row.vm, ConfigMessage::Offer(offer), start);
            follower
        })
        .collect();
    let mut calls = vec![0; seconds];
    for tick in 0..seconds * 4 {
        let now = start + Duration::from_millis(tick as u64 * 250);
        for follower in &mut followers {
            let effects = follower.tick(now);
            let is_call = |effect: &&FollowerEffect| matches!(effect, FollowerEffect::Store(_));
            if effects.iter().any(|effect| is_call(&effect)) {
                calls[tick / 4] += 1;
                follower.on_reply(reply.clone(), now);
            }
        }
    }
    calls
}

#[parameterized(
    tick_fallback_read_budget_outage = { StoreReply::Failed, 100..600 },
    tick_fallback_read_budget_service_up = { empty_log(), 600..1_500 },
)]
/// Without messages all nodes fall back to reading the key-value service. Their reads together must
/// stay near the budget of 200 a second in an outage and 1,000 otherwise, and below twice the larger
/// one in every second, or they overload the service when it recovers.
fn tick_fallback_read_budget(reply: StoreReply, fleet_calls: std::ops::Range<usize>) {
    const DOMAINS: usize = 36;
    let calls = fallback_calls(&reply, 120);
    let busiest = calls.iter().max().expect("a second") * DOMAINS;
    assert!(busiest < 2_000, "{busiest} calls a second from the fleet");
    let last_minute = calls[60..].iter().sum::<usize>() * DOMAINS / 60;
    assert!(
        fleet_calls.contains(&last_minute),
        "{last_minute} calls a second from the fleet"
    );
}

/// Reply of a service without a configuration.
fn empty_log() -> StoreReply {
    StoreModel::default().old_log(0)
}

#[test]
fn relay_default_only_pulls_from_announcer() {
    let now = Instant::now();
    let mut follower = ConfigFollower::new(1, now);
    assert_eq!(follower.tick(now + Duration::from_secs(1)), []);
    let peer: VmId = id("peer");
    follower.on_number(&peer, ChangeNumber::new(1), now);
    let pull = ConfigMessage::Pull(ConfigPull {
        after: ChangeNumber::new(0),
    });
    let sent = FollowerEffect::Send {
        peer,
        message: pull,
    };
    assert_eq!(follower.tick(now + Duration::from_secs(1)), [sent]);
}
