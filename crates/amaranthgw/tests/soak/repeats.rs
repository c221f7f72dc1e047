//! Counts the repeats that reach a service by sliding windows, as the users do.

use std::collections::HashSet;
use std::time::Duration;

use amaranthgw_standins::site::SiteArrival;
use tokio::time::Instant;

use super::site::SoakSite;

/// Settings of the gateways.
pub(super) const RETRY_RATIO: f64 = 0.2;
pub(super) const RETRY_SLACK: f64 = 94.0;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Checks that no window holds more repeats at `service` than `sent`, its requests, allow.
pub(super) fn check_repeats(site: &SoakSite, service: &str, sent: &[Instant]) -> Option<String> {
    let targets = site.targets.iter().filter(|it| it.service == service);
    let mut arrivals: Vec<SiteArrival> = targets.flat_map(|it| it.target.arrival_log()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = HashSet::new();
    arrivals.retain(|arrival| !seen.insert(arrival.request.clone()));
    let repeats: Vec<_> = arrivals.into_iter().map(|arrival| arrival.at).collect();
    repeats.iter().find_map(|from| {
        let requests = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW].map(|shift| {
            from.checked_sub(shift)
                .map_or(0.0, |from| count(sent, from))
        });
        let allowed = RETRY_RATIO * requests.into_iter().fold(0.0, f64::max) + RETRY_SLACK;
        let repeats = count(&repeats, *from);
        (repeats > allowed)
            .then(|| format!("{service}: {repeats} repeats in a window, {allowed} allowed"))
    })
}

fn count(times: &[Instant], from: Instant) -> f64 {
    let within = |at: &&Instant| **at >= from && **at < from + RETRY_WINDOW;
    let count = times.iter().filter(within).count();
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
