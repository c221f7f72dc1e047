//! Findings in routes.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};

use super::{ConfigDocument, ConfigFinding};
use crate::gateway::{RouteKind, RouteRow};

/// Priorities above this one are not told apart.
const LOWEST_PRIORITY: u8 = 3;

/// A check of one route by itself; returns what is wrong with it.
type RouteCheck = fn(&RouteRow) -> Option<CompactString>;

const ERROR_CHECKS: [RouteCheck; 3] = [check_prefix, check_split, check_timeout];
const WARNING_CHECKS: [RouteCheck; 5] = [
    check_objective,
    check_event_gap,
    check_attempts,
    check_resumable,
    check_priority,
];

pub(super) fn check(document: &ConfigDocument, findings: &mut Vec<ConfigFinding>) {
    for (place, route) in &document.routes {
        let errors = ERROR_CHECKS.iter().filter_map(|check| check(route));
        findings.extend(errors.map(|text| ConfigFinding::error(place, text)));
        let warnings = WARNING_CHECKS.iter().filter_map(|check| check(route));
        findings.extend(warnings.map(|text| ConfigFinding::warning(place, text)));
    }
    check_hidden(document, findings);
    check_names(document, findings);
    check_targets(document, findings);
}

fn check_prefix(route: &RouteRow) -> Option<CompactString> {
    let prefix = &route.prefix;
    let is_sound = prefix.starts_with('/') && prefix.ends_with('/');
    let text = || {
        format_compact!(
            "prefix {prefix} can never match as meant: it must begin and end with a slash"
        )
    };
    (!is_sound).then(text)
}

fn check_split(route: &RouteRow) -> Option<CompactString> {
    let is_empty = route.split.iter().all(|share| share.weight == 0);
    is_empty.then(|| "all weights of the split are 0".into())
}

fn check_timeout(route: &RouteRow) -> Option<CompactString> {
    let is_zero = route.timeout.duration().is_zero();
    is_zero.then(|| "timeout of 0: each request ends at once".into())
}

fn check_objective(route: &RouteRow) -> Option<CompactString> {
    let (objective, timeout) = (route.objective, route.timeout);
    let text = || format_compact!("objective {objective} is over the timeout {timeout}");
    (objective > timeout).then(text)
}

fn check_event_gap(route: &RouteRow) -> Option<CompactString> {
    let (gap, timeout) = (route.event_gap, route.timeout);
    let text = || format_compact!("longest gap between events {gap} is over the timeout {timeout}");
    (gap > timeout).then(text)
}

fn check_attempts(route: &RouteRow) -> Option<CompactString> {
    let (attempts, kind) = (route.max_attempts, route.kind);
    let is_useless = attempts > 1 && kind == RouteKind::NonIdempotent;
    let text = || format_compact!("{attempts} attempts on a route whose requests may run once");
    is_useless.then(text)
}

fn check_resumable(route: &RouteRow) -> Option<CompactString> {
    let is_stream = route.kind == RouteKind::Streaming;
    match (is_stream, route.is_resumable) {
        (true, false) if route.max_attempts > 1 => Some(format_compact!(
            "{} attempts on a stream that may not be resumed",
            route.max_attempts
        )),
        (true, true) if route.max_attempts == 1 => {
            Some("a stream that may be resumed has a single attempt".into())
        }
        (false, true) => Some("resumable has no effect: the answer is no stream".into()),
        _ => None,
    }
}

fn check_priority(route: &RouteRow) -> Option<CompactString> {
    let priority = route.priority.get();
    let text = || format_compact!("priority {priority} is not told apart from {LOWEST_PRIORITY}");
    (priority > LOWEST_PRIORITY).then(text)
}

/// Finds routes that an earlier one with the same host and prefix hides.
fn check_hidden(document: &ConfigDocument, findings: &mut Vec<ConfigFinding>) {
    let mut first_at: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for (place, route) in &document.routes {
        let (host, prefix) = (route.host.as_str(), route.prefix.as_str());
        if let Some(first) = first_at.get(&(host, prefix)) {
            let text = format_compact!("never matches: {first} has the same host and prefix");
            findings.push(ConfigFinding::error(place, text));
            continue;
        }
        first_at.insert((host, prefix), place);
    }
}

fn check_names(document: &ConfigDocument, findings: &mut Vec<ConfigFinding>) {
    let mut names = BTreeSet::new();
    for (place, route) in &document.routes {
        if !names.insert(&route.route) {
            let text = format_compact!("another route has the name {}, too", route.route);
            findings.push(ConfigFinding::warning(place, text));
        }
    }
}

/// Finds routes to services that the configuration doesn't list.
fn check_targets(document: &ConfigDocument, findings: &mut Vec<ConfigFinding>) {
    let services: BTreeSet<_> = document.services.iter().map(|(_, id, _)| id).collect();
    for (place, route) in &document.routes {
        let split = route.split.iter();
        for share in split.filter(|share| !services.contains(&share.service)) {
            let text = format_compact!("service {} is not listed", share.service);
            findings.push(ConfigFinding::error(place, text));
        }
    }
}
