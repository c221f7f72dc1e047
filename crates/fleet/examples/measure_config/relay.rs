//! Rounds and messages of one change along the relay plans.

use std::collections::HashMap;
use std::time::Instant;

use amaranthgw_core::VmId;
use amaranthgw_fleet::config::RelayPlan;

use crate::{SEED, number, vm_list};

/// Nodes of each measured fleet.
const FLEETS: [usize; 3] = [100, 1_000, 11_700];

/// The plans of a fleet by the position of the node in the VM list.
struct RelayGraph {
    watchers: Vec<usize>,
    told: Vec<Vec<usize>>,
}

/// How one change spread.
struct SpreadCount {
    rounds: usize,
    reached: usize,
    sent: Vec<usize>,
}

pub fn print_rounds() {
    for nodes in FLEETS {
        let (graph, plan_us) = build(nodes);
        let first = graph.watchers[0];
        for dead_percent in [0, 5, 20] {
            print_row(
                nodes,
                plan_us,
                "all watchers",
                dead_percent,
                &graph,
                &graph.watchers,
            );
            print_row(
                nodes,
                plan_us,
                "one watcher",
                dead_percent,
                &graph,
                &[first],
            );
        }
    }
}

fn print_row(
    nodes: usize,
    plan_us: f64,
    start_name: &str,
    dead_percent: usize,
    graph: &RelayGraph,
    start: &[usize],
) {
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut is_dead: Vec<_> = (0..nodes)
        .map(|_| random.usize(..100) < dead_percent)
        .collect();
    is_dead[start[0]] = false;
    let count = spread(graph, start, &is_dead);
    let live = is_dead.iter().filter(|is_dead| !**is_dead).count();
    let sent: usize = count.sent.iter().sum();
    println!(
        "| {nodes} | {plan_us:.0} | {start_name} | {dead_percent} | {} | {:.2} | {:.2} | {} |",
        count.rounds,
        percent(count.reached, live),
        percent(sent, live) / 100.0,
        count.sent.iter().max().unwrap_or(&0),
    );
}

fn percent(part: usize, whole: usize) -> f64 {
    number(part) * 100.0 / number(whole)
}

/// The graph of a fleet and the mean time to make one node's plan, in microseconds.
fn build(nodes: usize) -> (RelayGraph, f64) {
    let vms = vm_list(nodes);
    let positions: HashMap<&VmId, usize> = vms.iter().map(|row| &row.vm).zip(0..).collect();
    let mut graph = RelayGraph {
        watchers: Vec::new(),
        told: Vec::new(),
    };
    let start = Instant::now();
    let plans: Vec<_> = vms
        .iter()
        .map(|row| RelayPlan::new(&row.vm, &row.domain, &vms))
        .collect();
    let plan_us = start.elapsed().as_secs_f64() * 1e6 / number(nodes);
    for (position, plan) in plans.iter().enumerate() {
        if plan.is_watcher() {
            graph.watchers.push(position);
        }
        let told = plan.successors().iter().map(|vm| positions[vm]);
        graph.told.push(told.collect());
    }
    (graph, plan_us)
}

fn spread(graph: &RelayGraph, start: &[usize], is_dead: &[bool]) -> SpreadCount {
    let mut is_reached = vec![false; is_dead.len()];
    let mut sent = vec![0; is_dead.len()];
    let mut newest: Vec<_> = start
        .iter()
        .copied()
        .filter(|node| !is_dead[*node])
        .collect();
    for node in &newest {
        is_reached[*node] = true;
    }
    let mut rounds = 0;
    while !newest.is_empty() {
        let mut next = Vec::new();
        for node in newest {
            sent[node] += graph.told[node].len();
            for peer in &graph.told[node] {
                if !is_dead[*peer] && !is_reached[*peer] {
                    is_reached[*peer] = true;
                    next.push(*peer);
                }
            }
        }
        rounds += usize::from(!next.is_empty());
        newest = next;
    }
    let reached = is_reached.iter().filter(|is_reached| **is_reached).count();
    SpreadCount {
        rounds,
        reached,
        sent,
    }
}
