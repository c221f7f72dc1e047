//! Faults of one seed: what goes wrong when, one over the other.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthgw_standins::site::{StoreFault, TargetBehaviour};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep};

use super::ledger::{CallLedger, FaultSpan};
use super::processes::SoakProcess;
use super::site::{SoakSite, SoakTarget};

/// Longest pause between two faults.
const LONGEST_PAUSE_MS: u64 = 900;
/// Longest fault.
const LONGEST_FAULT_MS: u64 = 2_200;
/// Time from a planned stop to the end by force.
const GRACE: Duration = Duration::from_secs(9);
/// Time for which a leaving target is registered as such.
const LEAVING_TIME: Duration = Duration::from_secs(4);

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Proxy(&'static str),
    Delay,
    Store(StoreFault),
    Compact,
    Pause,
    Kill,
    KillAll,
    Stop,
    Reload,
    Config,
    Target,
    Leave,
    Shift,
}

const KINDS: [FaultKind; 20] = [
    FaultKind::Proxy("hold"),
    FaultKind::Proxy("hold_replies"),
    FaultKind::Proxy("cut"),
    FaultKind::Proxy("refuse"),
    FaultKind::Delay,
    FaultKind::Store(StoreFault::Busy),
    FaultKind::Store(StoreFault::Silent),
    FaultKind::Store(StoreFault::LosesAnswers),
    FaultKind::Compact,
    FaultKind::Pause,
    FaultKind::Pause,
    FaultKind::Kill,
    FaultKind::KillAll,
    FaultKind::Stop,
    FaultKind::Reload,
    FaultKind::Config,
    FaultKind::Config,
    FaultKind::Target,
    FaultKind::Leave,
    FaultKind::Shift,
];

/// Kinds that operators plan; a seed of these alone shows what they must not cost.
const PLANNED: [FaultKind; 5] = [
    FaultKind::Stop,
    FaultKind::Reload,
    FaultKind::Config,
    FaultKind::Leave,
    FaultKind::Shift,
];

/// One fault that is due.
#[derive(Clone, Copy, Debug)]
struct DueFault {
    after: Duration,
    kind: FaultKind,
    lasts: Duration,
    choice: usize,
}

/// The faults of one seed, in the order in which they begin.
#[derive(Debug)]
pub(super) struct FaultPlan {
    faults: Vec<DueFault>,
}

impl FaultPlan {
    /// Draws the faults of `seed`, which begin within `seconds`; each fourth seed has planned work
    /// alone.
    pub(super) fn new(seed: u64, seconds: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let kinds: &[FaultKind] = if seed.is_multiple_of(4) {
            &PLANNED
        } else {
            &KINDS
        };
        let (mut faults, mut at) = (Vec::new(), Duration::ZERO);
        while at < Duration::from_secs(seconds) {
            let after = Duration::from_millis(random.u64(50..LONGEST_PAUSE_MS));
            at += after;
            faults.push(DueFault {
                after,
                kind: kinds[random.usize(..kinds.len())],
                lasts: Duration::from_millis(random.u64(100..LONGEST_FAULT_MS)),
                choice: random.usize(..10_000),
            });
        }
        Self { faults }
    }

    /// Injects the faults, waits until all have ended and gives a line for each.
    pub(super) async fn play(self, site: &SoakSite, ledger: &Arc<CallLedger>) -> Vec<String> {
        let began_at = Instant::now();
        let lines = Mutex::new(Vec::new());
        let mut running = FuturesUnordered::new();
        for due in self.faults {
            let pause = sleep(due.after);
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    Some(()) = running.next(), if !running.is_empty() => {}
                }
            }
            let line = format!("{:.2} s {due:?}", began_at.elapsed().as_secs_f64());
            lines.lock().expect("lines").push(line);
            running.push(inject(due, site, ledger));
        }
        while running.next().await.is_some() {}
        lines.into_inner().expect("lines")
    }
}

/// Injects one fault and ends it.
async fn inject(due: DueFault, site: &SoakSite, ledger: &Arc<CallLedger>) {
    let from = Instant::now();
    let planned_at = play_fault(due, site).await;
    let is_harmless = matches!(
        due.kind,
        FaultKind::Config | FaultKind::Leave | FaultKind::Shift
    );
    if !is_harmless {
        let until = Instant::now();
        ledger.fault(FaultSpan {
            from,
            until,
            planned_at,
        });
    }
}

/// Plays one fault to its end; gives the gateway that it was planned at.
async fn play_fault(due: DueFault, site: &SoakSite) -> Option<usize> {
    let gateway = due.choice % site.gateways.len();
    match due.kind {
        FaultKind::Proxy(mode) => disturb_proxy(due, site, mode, 0).await,
        FaultKind::Delay => {
            let delay_ms = u64::from(due.lasts.subsec_millis()) / 5;
            disturb_proxy(due, site, "pass", delay_ms).await;
        }
        FaultKind::Store(fault) => {
            site.store.set_fault(fault);
            sleep(due.lasts).await;
            site.store.set_fault(StoreFault::None);
        }
        FaultKind::Compact => site.store.compact(),
        FaultKind::Pause => {
            let process = any_process(due, site);
            process.signal("STOP");
            sleep(due.lasts).await;
            process.signal("CONT");
        }
        FaultKind::Kill => {
            let process = any_process(due, site);
            let id = process.id();
            process.signal("KILL");
            relaunch(process, id, due.lasts).await;
        }
        FaultKind::KillAll => kill_all(due, site).await,
        FaultKind::Stop => {
            let process = &site.gateways[gateway].1;
            let id = process.id();
            process.signal("TERM");
            relaunch(process, id, Duration::from_millis(200)).await;
            return Some(gateway);
        }
        FaultKind::Reload => {
            site.gateways[gateway].1.signal("HUP");
            return Some(gateway);
        }
        FaultKind::Config => site.put_config(due.choice % 2, !due.choice.is_multiple_of(3)),
        FaultKind::Target => disturb_target(due, site).await,
        FaultKind::Leave => leave(&site.targets[due.choice % site.targets.len()], site).await,
        FaultKind::Shift => {
            let unanswered = u32::try_from(due.choice % 40).unwrap_or_default();
            site.group.set_unanswered_percent(unanswered);
            site.group
                .set_popular_expert(u16::try_from(due.choice % 12).unwrap_or_default());
        }
    }
    None
}

async fn disturb_proxy(due: DueFault, site: &SoakSite, mode: &str, delay_ms: u64) {
    let proxy = &site.proxies[due.choice % site.proxies.len()];
    proxy.set(mode, delay_ms).await;
    sleep(due.lasts).await;
    proxy.set("pass", 0).await;
}

async fn kill_all(due: DueFault, site: &SoakSite) {
    let gateways = site.gateways.iter().map(|(_, process)| process);
    let all: Vec<_> = gateways.chain(&site.agents).collect();
    let ids: Vec<_> = all.iter().map(|process| process.id()).collect();
    for process in &all {
        process.signal("KILL");
    }
    sleep(due.lasts).await;
    for (process, id) in all.into_iter().zip(ids) {
        relaunch(process, id, Duration::ZERO).await;
    }
}

async fn disturb_target(due: DueFault, site: &SoakSite) {
    let target = &site.targets[due.choice % site.targets.len()];
    target
        .target
        .set_behaviour(odd_behaviour(target, due.choice));
    sleep(due.lasts).await;
    let sound = SoakSite::sound_behaviour(target.service);
    target.target.set_behaviour(sound);
}

fn any_process(due: DueFault, site: &SoakSite) -> &SoakProcess {
    let number = due.choice % (site.gateways.len() + site.agents.len());
    match site.gateways.get(number) {
        Some((_, process)) => process,
        None => &site.agents[number - site.gateways.len()],
    }
}

/// Waits until the process with the identifier `id` has ended, and `pause` more, and starts it
/// again.
async fn relaunch(process: &SoakProcess, id: Option<u32>, pause: Duration) {
    let until = Instant::now() + GRACE;
    while !process.has_ended(id) && Instant::now() < until {
        sleep(Duration::from_millis(20)).await;
    }
    if !process.has_ended(id) {
        process.signal("KILL");
        sleep(Duration::from_millis(200)).await;
    }
    sleep(pause).await;
    process.launch();
}

fn odd_behaviour(target: &SoakTarget, choice: usize) -> TargetBehaviour {
    let is_stream = target.service == "draft";
    match choice % 6 {
        0 => TargetBehaviour::Refuse,
        1 => TargetBehaviour::CloseAfterRun,
        2 => TargetBehaviour::BreakBody,
        3 => TargetBehaviour::WrongRequestId,
        4 if is_stream => TargetBehaviour::Stream {
            events: 20,
            gap: Duration::from_millis(4),
            breaks_in: 7,
        },
        _ => TargetBehaviour::Hang,
    }
}

/// Registers a target as leaving, unless another one of its service already is: it does not come
/// back.
async fn leave(target: &SoakTarget, site: &SoakSite) {
    let mut others = site
        .targets
        .iter()
        .filter(|it| it.service == target.service);
    if others.any(|it| it.draining_at.lock().expect("a time").is_some()) {
        return;
    }
    let mut entry = target.entry.clone();
    entry["state"] = "draining".into();
    site.store.put(&target.key, &entry);
    *target.draining_at.lock().expect("a time") = Some(Instant::now());
    sleep(LEAVING_TIME).await;
}
