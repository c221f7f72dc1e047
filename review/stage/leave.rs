//! Rule DRAIN: a server that has left, or drains, gets requests again because an entry of the past comes back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::Verdict;
use super::plant::{Clients, Target, config};
use super::stage::{Stage, wait_until};

const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Longest time that a request of the sheet takes.
const WORK_TIME: Duration = Duration::from_millis(220);

struct Scene {
    targets: Vec<Target>,
    clients: Clients,
}

/// Three servers, a gateway, and clients that book all the time.
fn set_up(stage: &mut Stage) -> std::io::Result<Option<Scene>> {
    let (store, record) = (stage.store.clone(), stage.record.clone());
    store.put("op/config", &config(0.0, 0.0));
    let mut targets = Vec::new();
    for (number, zone) in ["brum", "notts", "leics"].into_iter().enumerate() {
        let address = SocketAddr::new(stage.ip(20 + number as u8), 0);
        let id = format!("i-{number}");
        let target = Target::new(
            &id,
            address,
            ("desk", zone),
            (6, WORK_TIME),
            &store,
            &record,
        );
        target.start(Duration::ZERO)?;
        targets.push(target);
    }
    let (_, front) = stage.add_gateway("edge-0", 40, "brum", &[40])?;
    std::thread::sleep(Duration::from_secs(3));
    let route = ("POST", "/book/2f", 2_500);
    let interval = Duration::from_millis(250);
    let clients = Clients::start(8, interval, &[front], route, Some(record));
    let answers = Arc::clone(&clients.answers);
    let is_served = || {
        answers
            .lock()
            .is_ok_and(|it| it.get(&200).is_some_and(|it| *it > 100))
    };
    let scene = Scene { targets, clients };
    Ok(wait_until(Duration::from_secs(15), is_served).then_some(scene))
}

/// Requests that were sent after `bound` and reached `target`.
fn late_requests(scene: &Scene, target: &Target, bound: Instant) -> Vec<String> {
    let sent = scene
        .clients
        .sent
        .lock()
        .map(|it| it.clone())
        .unwrap_or_default();
    let arrivals = target.arrivals().into_iter();
    let late = arrivals.filter(|it| sent.get(&it.id).is_some_and(|sent| *sent > bound));
    late.map(|it| it.id).collect()
}

fn verdict(stage: &Stage, scene: &Scene, target: &Target, bound: Instant) -> Verdict {
    scene.clients.stop();
    std::thread::sleep(Duration::from_millis(500));
    let late = late_requests(scene, target, bound);
    let answers = scene
        .clients
        .answers
        .lock()
        .map(|it| it.clone())
        .unwrap_or_default();
    stage
        .record
        .line(&format!("answers by status: {answers:?}"));
    if late.is_empty() {
        return Verdict::Held;
    }
    stage.record.line(&format!(
        "{} requests that were sent later reached server {}: {}",
        late.len(),
        target.id,
        late.join(" "),
    ));
    Verdict::Broken
}

/// Ends `target` once a request that was sent after `bound` has reached it, as it leaves at some time.
fn end_with_late_request(scene: &Scene, target: &Target, bound: Instant, limit: Duration) {
    wait_until(limit, || !late_requests(scene, target, bound).is_empty());
    std::thread::sleep(Duration::from_millis(100));
    target.crash();
}

/// A server leaves; the store comes back from a copy that still has its entry.
pub fn run_drill(stage: &mut Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let Some(scene) = set_up(stage)? else {
        return Ok(Verdict::CouldNotRun("no answers".to_owned()));
    };
    let (store, record) = (stage.store.clone(), stage.record.clone());
    let target = scene.targets[0].clone();
    store.take_copy();
    record.line("the copy of the store is taken");
    let left_at = Arc::new(Mutex::new(None));
    let (leaver, left) = (target.clone(), Arc::clone(&left_at));
    store.before_next_listing(
        "servers/",
        Box::new(move || {
            leaver.say_leaving();
            leaver.set_entry(None);
            *left.lock().unwrap_or_else(|it| it.into_inner()) = Some(Instant::now());
        }),
    );
    let left_at = || left_at.lock().map(|it| *it).unwrap_or_default();
    if !wait_until(Duration::from_secs(3), || left_at().is_some()) {
        return Ok(Verdict::CouldNotRun("the registry is not read".to_owned()));
    }
    let left_at = left_at().unwrap_or_else(Instant::now);
    std::thread::sleep(Duration::from_millis(600));
    let answered = scene
        .clients
        .answered
        .lock()
        .map(|it| it.clone())
        .unwrap_or_default();
    let passed_on = answered
        .iter()
        .filter(|(_, server, at)| *server == target.id && *at > left_at + Duration::from_millis(5));
    let Some(passed_on) = passed_on.map(|(_, _, at)| *at).min() else {
        return Ok(Verdict::CouldNotRun(
            "no answer says that the server leaves".to_owned(),
        ));
    };
    let bound = passed_on + DRAIN_TIME;
    std::thread::sleep(
        (bound + Duration::from_millis(300)).saturating_duration_since(Instant::now()),
    );
    if has_trouble {
        record.line("the store is away");
        store.go_away();
        std::thread::sleep(Duration::from_millis(400));
        store.come_back();
        record.line("the store is back from the copy");
        let writers = scene.targets.clone();
        std::thread::spawn(move || {
            for target in &writers[1..] {
                target.beat();
            }
            std::thread::sleep(Duration::from_millis(1_200));
            writers[0].set_entry(None);
        });
    }
    end_with_late_request(&scene, &target, bound, Duration::from_secs(4));
    std::thread::sleep(Duration::from_secs(2));
    Ok(verdict(stage, &scene, &target, bound))
}

/// A server crashes, starts again and drains; the store carries a heartbeat of its first start out late.
pub fn run_late_beat(stage: &mut Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let Some(scene) = set_up(stage)? else {
        return Ok(Verdict::CouldNotRun("no answers".to_owned()));
    };
    let (store, record) = (stage.store.clone(), stage.record.clone());
    let target = scene.targets[0].clone();
    let key = format!("servers/{}", target.id);
    let lost = if has_trouble {
        target.next_beat()
    } else {
        None
    };
    let lost_at = Instant::now();
    let at = |millis| {
        let time =
            (lost_at + Duration::from_millis(millis)).saturating_duration_since(Instant::now());
        std::thread::sleep(time);
    };
    if lost.is_some() {
        record.line("a heartbeat of server i-0 gets no answer from the store");
        at(100);
        target.crash();
        at(1_100);
        target.start(Duration::ZERO)?;
    }
    at(3_400);
    target.set_entry(Some("draining"));
    let bound = Instant::now() + DRAIN_TIME;
    at(4_780);
    if let Some(lost) = lost {
        store.put(&key, &lost);
        record.line(&format!("the store carries it out: {lost}"));
    }
    end_with_late_request(&scene, &target, bound, Duration::from_secs(3));
    target.set_entry(None);
    std::thread::sleep(Duration::from_secs(2));
    Ok(verdict(stage, &scene, &target, bound))
}

const EVAC_TIME: Duration = Duration::from_millis(5_000);
/// Time after the start of the second gateway, 0.6 s after the return of the store, at which the operator has written the evacuation again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_secs(5);

/// A zone is evacuated; the store comes back from a copy that lacks that, and a gateway starts just then.
pub fn run_evacuation(stage: &mut Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let Some(scene) = set_up(stage)? else {
        return Ok(Verdict::CouldNotRun("no answers".to_owned()));
    };
    let (store, record) = (stage.store.clone(), stage.record.clone());
    let (second, front) = stage.add_gateway("edge-1", 41, "leics", &[40])?;
    std::thread::sleep(Duration::from_secs(3));
    let interval = Duration::from_millis(250);
    let route = ("POST", "/book/2f", 2_500);
    let others = Clients::start(8, interval, &[front], route, Some(record.clone()));
    std::thread::sleep(Duration::from_secs(2));
    store.take_copy();
    record.line("the copy of the store is taken");
    std::thread::sleep(Duration::from_secs(1));
    store.put("op/evacuate/notts", "{}");
    let acknowledged_at = Instant::now();
    record.line("zone notts is evacuated");
    std::thread::sleep(Duration::from_millis(2_500));
    if has_trouble {
        record.line("the store is away, and the second gateway is killed");
        store.go_away();
        stage.process(second).kill();
        std::thread::sleep(Duration::from_millis(400));
        store.come_back();
        record.line("the store is back from the copy");
        for target in &scene.targets {
            target.beat();
        }
        std::thread::sleep(Duration::from_millis(600));
        stage.process(second).restart()?;
        record.line("the second gateway starts again");
    } else {
        std::thread::sleep(Duration::from_secs(1));
    }
    let started_at = Instant::now();
    let target = scene.targets[1].clone();
    std::thread::sleep(WRITTEN_AGAIN_AFTER - Duration::from_millis(100));
    // The zone is switched off.
    target.crash();
    std::thread::sleep(Duration::from_millis(100));
    if has_trouble {
        store.put("op/evacuate/notts", "{}");
        record.line("the operator writes the evacuation again");
    }
    // Machines are in touch 3 s after their start and the end of the store's disruption.
    let bound = (acknowledged_at + EVAC_TIME).max(started_at + Duration::from_millis(3_500));
    std::thread::sleep(Duration::from_secs(2));
    others.stop();
    let more = others.sent.lock().map(|it| it.clone()).unwrap_or_default();
    if let Ok(mut sent) = scene.clients.sent.lock() {
        sent.extend(more);
    }
    let answers = others
        .answers
        .lock()
        .map(|it| it.clone())
        .unwrap_or_default();
    record.line(&format!(
        "answers of the second gateway by status: {answers:?}"
    ));
    Ok(verdict(stage, &scene, &target, bound))
}
