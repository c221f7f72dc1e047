//! Rule MAP: the agent that coordinates a group is killed while its rank leaves orders unanswered and carries
//! them out late.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::Verdict;
use super::group::{Fate, Group, Order};
use super::stage::{Stage, unix_ms, wait_until};
use super::store::Store;

const RANKS: usize = 12;
const ZONES: [&str; 3] = ["brum", "notts", "leics"];
/// Shortest time after which a rank carries an unanswered order out.
const LATE_TIME: Duration = Duration::from_secs(2);
/// Time after which it carries out the others.
const LATEST_TIME: Duration = Duration::from_secs(9);
/// Time from the last order that the coordinator gives to its end.
const KILL_DELAY: Duration = Duration::from_millis(5);
/// Time for which the killed agent is down.
const DOWN_TIME: Duration = Duration::from_millis(3_500);

#[derive(Default)]
struct Plan {
    /// Rank beside the agent that coordinates the group, and the fencing token of its orders to arm.
    coordinator: Option<(usize, u64)>,
    /// Ranks that have taken the order to disarm.
    disarmed: usize,
    kill_at: Option<Instant>,
    /// Orders that are carried out late, and when they arrived.
    late: Vec<(Instant, Order)>,
    /// Whether the next coordinator has given the rank an order.
    is_over: bool,
}

fn config() -> String {
    let service = "{\"name\":\"helper\",\"health_path\":\"/healthz\",\"max_conns\":278,\"protocol\":\"h1\",\
        \"tls\":false,\"cold_s\":3.0,\"cold_per_s\":28.0,\"engine\":{\"slots\":12,\"kv_tokens\":372000,\
        \"kv_bytes\":96256,\"link_mbps\":44000.0,\"stride\":5,\"models\":[{\"name\":\"m\"}],\"step_ms\":5.85,\
        \"per_seq_ms\":0.355,\"context_per_k\":0.036,\"read_per_s\":61200.0,\"pairs_per_m\":0.325,\
        \"chunk\":512,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":835,\"answer\":139},\"sets\":3,\
        \"experts\":96,\"places\":11,\"spare\":4,\"expert_mb\":780.0,\"expert_share\":0.85,\"form_ms\":600.0}}";
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"advice\",\"hostname\":\"tins.example\",\
         \"prefix\":\"/advice/\",\"route_kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,\
         \"priority\":1,\"service\":\"helper\",\"attempts\":2,\"public\":true,\"sticky\":true,\
         \"resumable\":true,\"gap_aim_ms\":120}}],\"services\":[{service}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

pub fn run(stage: &mut Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = stage.record.clone();
    let group = Group::new(RANKS, record.clone());
    let store = stage.store.clone();
    store.put("op/config", &config());
    let (mut servers, mut agents, mut beats) = (Vec::new(), Vec::new(), Vec::new());
    let born = unix_ms();
    for rank in 0..RANKS {
        let address = SocketAddr::new(stage.ip(20 + rank as u8), 0);
        let server = group.serve(rank, address)?;
        let zone = ZONES[rank / 4];
        let address = server.address;
        beats.push(move |seq: u64| {
            (format!("servers/i-{rank}"), format!(
                "{{\"service\":\"helper\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"mixed\",\"models\":\
                 [{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{born}}}"
            ))
        });
        servers.push(server);
        let (key, value) = beats[rank](1);
        store.put(&key, &value);
    }
    for (rank, server) in servers.iter().enumerate() {
        let name = format!("side-{rank}");
        agents.push(stage.add_agent(&name, ZONES[rank / 4], "helper", server.address)?);
    }
    let beating = store.clone();
    std::thread::spawn(move || {
        for seq in 2.. {
            std::thread::sleep(Duration::from_millis(1_200));
            for beat in &beats {
                let (key, value) = beat(seq);
                beating.put(&key, &value);
            }
        }
    });
    if !wait_until(Duration::from_secs(20), || group.switches() > 0) {
        return Ok(Verdict::CouldNotRun("no switch of maps".to_owned()));
    }
    if !has_trouble {
        std::thread::sleep(Duration::from_secs(12));
        record.line(&format!("{} switches of maps", group.switches()));
        return Ok(verdict(&group));
    }
    let plan = Arc::new(Mutex::new(Plan::default()));
    let judging = Arc::clone(&plan);
    let known = store.clone();
    group.set_judge(Box::new(move |group, order| {
        judge(&judging, &known, group, order)
    }));
    let is_due = || lock(&plan).kill_at.is_some_and(|at| at <= Instant::now());
    if !wait_until(Duration::from_secs(30), is_due) {
        return Ok(Verdict::CouldNotRun("no second switch of maps".to_owned()));
    }
    let Some((coordinator, _)) = lock(&plan).coordinator else {
        return Ok(Verdict::CouldNotRun("no coordinator".to_owned()));
    };
    stage.process(agents[coordinator]).kill();
    group.set_own_machine(coordinator, false);
    record.line(&format!(
        "the agent beside rank {coordinator}, which coordinates, is killed"
    ));
    let killed_at = Instant::now();
    while killed_at.elapsed() < Duration::from_secs(13) {
        std::thread::sleep(Duration::from_millis(10));
        if killed_at.elapsed() >= DOWN_TIME && !group.has_own_machine(coordinator) {
            stage.process(agents[coordinator]).restart()?;
            group.set_own_machine(coordinator, true);
            record.line(&format!("the agent beside rank {coordinator} starts again"));
        }
        carry_out_late(&plan, &group);
    }
    let (answered, lost) = group.order_counts();
    record.line(&format!("{answered} orders were answered, {lost} were not"));
    Ok(verdict(&group))
}

fn verdict(group: &Group) -> Verdict {
    if group.mixed().is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn lock(plan: &Mutex<Plan>) -> std::sync::MutexGuard<'_, Plan> {
    plan.lock().unwrap_or_else(|it| it.into_inner())
}

/// Carries out late orders that are due.
fn carry_out_late(plan: &Mutex<Plan>, group: &Group) {
    let mut due = Vec::new();
    lock(plan).late.retain(|(at, order)| {
        let is_due = at.elapsed() >= LATEST_TIME;
        if is_due {
            due.push(order.clone());
        }
        !is_due
    });
    for order in due {
        group.carry_out(&order, ", late");
    }
}

/// From the first order to arm the coordinator's own rank on, that rank leaves orders unanswered. The
/// coordinator gives up after a while and disarms the others; then it is killed. The rank carries the order to
/// arm out late, just before it takes the first order of the next coordinator.
fn judge(plan: &Mutex<Plan>, store: &Store, group: &Group, order: &Order) -> Fate {
    let now = Instant::now();
    let mut plan = lock(plan);
    let Some((coordinator, fence)) = plan.coordinator else {
        let name = store.last_conditional("/coordinator").map(|(_, name)| name);
        let coordinator = name.and_then(|it| it.strip_prefix("side-")?.parse::<usize>().ok());
        if order.op != "arm" || coordinator != Some(order.rank) {
            return Fate::Normal;
        }
        plan.coordinator = Some((order.rank, order.fence));
        plan.late.push((now, order.clone()));
        return Fate::Lost;
    };
    if order.rank != coordinator {
        // The coordinator's own orders to disarm bear the next token.
        if order.op == "disarm" && order.fence == fence + 1 && plan.kill_at.is_none() {
            plan.disarmed += 1;
            if plan.disarmed == RANKS - 1 {
                plan.kill_at = Some(now + KILL_DELAY);
            }
        }
        return Fate::Normal;
    }
    if plan.is_over {
        return Fate::Normal;
    }
    if order.fence <= fence + 1 {
        plan.late.push((now, order.clone()));
        return Fate::Lost;
    }
    let Some(late) = plan.late.iter().position(|(_, late)| late.op == "arm") else {
        return Fate::Normal;
    };
    if plan.late[late].0.elapsed() < LATE_TIME {
        plan.late.push((now, order.clone()));
        return Fate::Lost;
    }
    let (_, late) = plan.late.remove(late);
    plan.is_over = true;
    drop(plan);
    group.carry_out(&late, ", late");
    Fate::Normal
}
