//! Rounds and messages that one change needs along the relay plans.

use std::collections::HashMap;
use std::time::Instant;

use amaranthgw_core::VmId;
use amaranthgw_fleet::config::RelayTopology;

use crate::{SEED, to_f64, vm_list};

/// Nodes of each measured fleet.
const FLEET_SIZES: [usize; 3] = [100, 1_000, 11_700];

/// Relay plans of a fleet; nodes are positions in the VM list.
struct RelayGraph {
    /// Nodes that watch the key-value service.
    watchers: Vec<usize>,
    /// Nodes that each node sends to.
    successors: Vec<Vec<usize>>,
}

/// Propagation of one change.
struct PropagationCount {
    /// Rounds in which further nodes received the change.
    rounds: usize,
    /// Live nodes that received the change.
    reached: usize,
    /// Messages sent by each node.
    sent: Vec<usize>,
}

pub fn print_rounds() {
    for nodes in FLEET_SIZES {
        let (graph, plan_us) = build_graph(nodes);
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
    let count = propagate(graph, start, &is_dead);
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
    to_f64(part) * 100.0 / to_f64(whole)
}

/// Computes the relay plans of a fleet.
///
/// Returns them as a graph, with the mean time to compute one node's plan in microseconds.
fn build_graph(nodes: usize) -> (RelayGraph, f64) {
    let vms = vm_list(nodes);
    let positions: HashMap<&VmId, usize> = vms.iter().map(|row| &row.vm).zip(0..).collect();
    let mut graph = RelayGraph {
        watchers: Vec::new(),
        successors: Vec::new(),
    };
    let start = Instant::now();
    let plans: Vec<_> = vms
        .iter()
        .map(|row| RelayTopology::new(&row.vm, &row.domain, &vms))
        .collect();
    let plan_us = start.elapsed().as_secs_f64() * 1e6 / to_f64(nodes);
    for (position, plan) in plans.iter().enumerate() {
        if plan.is_watcher() {
            graph.watchers.push(position);
        }
        let successors = plan.successors().iter().map(|vm| positions[vm]);
        graph.successors.push(successors.collect());
    }
    (graph, plan_us)
}

/// Propagates a change from the nodes of `start` along the graph; dead nodes forward nothing.
fn propagate(graph: &RelayGraph, start: &[usize], is_dead: &[bool]) -> PropagationCount {
    let mut is_reached = vec![false; is_dead.len()];
    let mut sent = vec![0; is_dead.len()];
    let mut frontier: Vec<_> = start
        .iter()
        .copied()
        .filter(|node| !is_dead[*node])
        .collect();
    for node in &frontier {
        is_reached[*node] = true;
    }
    let mut rounds = 0;
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for node in frontier {
            sent[node] += graph.successors[node].len();
            for peer in &graph.successors[node] {
                if !is_dead[*peer] && !is_reached[*peer] {
                    is_reached[*peer] = true;
                    next.push(*peer);
                }
            }
        }
        rounds += usize::from(!next.is_empty());
        frontier = next;
    }
    let reached = is_reached.iter().filter(|is_reached| **is_reached).count();
    PropagationCount {
        rounds,
        reached,
        sent,
    }
}
