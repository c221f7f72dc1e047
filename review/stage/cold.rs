//! Rule FAILBACK: a server crashes and starts again, cold, under the id that it had.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Verdict;
use super::plant::{Arrival, Clients, Target, config};
use super::stage::{Stage, wait_until};

const COLD_TIME: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 28.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Requests in one second with which a cold server falls over: "a rate well above" what it tolerates.
const FALL_PER_S: f64 = 2.0 * COLD_PER_S;
/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_millis(300);
const CRASHES: usize = 18;
/// Zone and host of each gateway, as on the sheet.
const GATEWAYS: [(&str, u8); 4] = [("brum", 40), ("brum", 41), ("notts", 42), ("leics", 43)];

pub fn run(stage: &mut Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let (store, record) = (stage.store.clone(), stage.record.clone());
    store.put("op/config", &config(COLD_TIME.as_secs_f64(), COLD_PER_S));
    let mut targets = Vec::new();
    for (number, zone) in ["brum", "notts", "leics"].into_iter().enumerate() {
        let address = SocketAddr::new(stage.ip(20 + number as u8), 0);
        let id = format!("i-{number}");
        let work = (12, Duration::from_millis(30));
        let target = Target::new(&id, address, ("desk", zone), work, &store, &record).unlogged();
        target.start(Duration::ZERO)?;
        targets.push(target);
    }
    let mut fronts = Vec::new();
    for (number, (zone, host)) in GATEWAYS.into_iter().enumerate() {
        let seeds = GATEWAYS.map(|(_, host)| host);
        fronts.push(
            stage
                .add_gateway(&format!("edge-{number}"), host, zone, &seeds[..3])?
                .1,
        );
    }
    std::thread::sleep(Duration::from_secs(4));
    let interval = Duration::from_millis(200);
    let clients = Clients::start(50, interval, &fronts, ("GET", "/shelf/2f", 2_500), None);
    let bookers = Clients::start(10, interval, &fronts, ("POST", "/book/2f", 2_500), None);
    let is_served = || {
        clients
            .answers
            .lock()
            .is_ok_and(|it| it.get(&200).is_some_and(|it| *it > 300))
    };
    if !wait_until(Duration::from_secs(10), is_served) {
        return Ok(Verdict::CouldNotRun("no answers".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(3));
    let (mut most, mut falls) = (0, 0);
    for crash in 0..CRASHES {
        let target = &targets[crash % 3];
        if has_trouble {
            target.crash();
            std::thread::sleep(DOWN_TIME);
            target.start(COLD_TIME)?;
        }
        let cold_from = Instant::now();
        let arrivals = || -> Vec<Arrival> {
            target
                .arrivals()
                .into_iter()
                .filter(|it| it.at >= cold_from)
                .collect()
        };
        let is_overrun = || {
            let lately = arrivals()
                .into_iter()
                .filter(|it| it.at.elapsed() < Duration::from_secs(1));
            has_trouble && lately.count() as f64 >= FALL_PER_S
        };
        if wait_until(COLD_TIME, is_overrun) {
            falls += 1;
            target.crash();
        }
        let mut sent = clients.sent.lock().map(|it| it.clone()).unwrap_or_default();
        sent.extend(bookers.sent.lock().map(|it| it.clone()).unwrap_or_default());
        let (count, at) = most_in_a_second(&arrivals(), &sent);
        let after = at.map_or(0, |at| at.saturating_duration_since(cold_from).as_millis());
        record.line(&format!(
            "server {}, crash {crash}: at most {count} requests in one second, from {after} ms after the start",
            target.id,
        ));
        most = most.max(count);
        std::thread::sleep(DOWN_TIME);
        if !target.is_up() {
            target.start(COLD_TIME)?;
        }
        std::thread::sleep(Duration::from_millis(1_500));
    }
    bookers.stop();
    clients.stop();
    std::thread::sleep(Duration::from_millis(500));
    let answers = bookers
        .answers
        .lock()
        .map(|it| it.clone())
        .unwrap_or_default();
    record.line(&format!(
        "cold servers fell over {falls} times; answers to bookings by status: {answers:?}"
    ));
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    record.line(&format!("the bound is {bound} requests in one second"));
    Ok(if has_trouble && most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// The largest number of requests that were sent and arrived inside one second, and when it began.
fn most_in_a_second(
    arrivals: &[Arrival],
    sent: &HashMap<String, Instant>,
) -> (usize, Option<Instant>) {
    let times: Vec<(Instant, Instant)> = arrivals
        .iter()
        .filter_map(|it| Some((*sent.get(&it.id)?, it.at)))
        .collect();
    let windows = times.iter().map(|(from, _)| {
        let until = *from + Duration::from_secs(1);
        let inside = times
            .iter()
            .filter(|(sent, at)| sent >= from && *at < until);
        (inside.count(), Some(*from))
    });
    windows.max_by_key(|(count, _)| *count).unwrap_or((0, None))
}
