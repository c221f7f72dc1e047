//! What a configuration changes against the one in force.

use std::collections::BTreeMap;

use amaranthgw_core::{ServiceId, WorkspaceId};
use compact_str::{CompactString, ToCompactString, format_compact};
use serde::Serialize;

use super::ConfigDocument;
use crate::gateway::{CallLimits, RouteRow, ServiceRow};

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DocumentChange {
    /// What changes, such as `route r-1`.
    pub subject: CompactString,
    /// How it changes; never holds a key.
    pub text: CompactString,
}

impl std::fmt::Display for DocumentChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.subject, self.text)
    }
}

impl DocumentChange {
    fn new(subject: CompactString, text: impl Into<CompactString>) -> Self {
        Self {
            subject,
            text: text.into(),
        }
    }
}

/// What `new` changes against `old`, the configuration in force: version, limits, routes, services and
/// workspaces in this order.
#[must_use]
pub fn compare_documents(old: &ConfigDocument, new: &ConfigDocument) -> Vec<DocumentChange> {
    let mut changes = Vec::new();
    if new.version <= old.version {
        let text = format_compact!("{} has no effect: {} is in force", new.version, old.version);
        changes.push(DocumentChange::new("version".into(), text));
    }
    compare_limits(old, new, &mut changes);
    compare_routes(old, new, &mut changes);
    compare_services(old, new, &mut changes);
    compare_workspaces(old, new, &mut changes);
    changes
}

fn compare_limits(old: &ConfigDocument, new: &ConfigDocument, changes: &mut Vec<DocumentChange>) {
    let [old, new] = [old, new].map(|it| limit_values(&it.limits.unwrap_or_default()));
    push_differences(&"limits".into(), &old, &new, changes);
}

fn limit_values(limits: &CallLimits) -> Vec<(&'static str, CompactString)> {
    vec![
        ("head", limits.head.to_compact_string()),
        ("body", limits.body.to_compact_string()),
        ("idle", limits.idle.to_compact_string()),
    ]
}

fn compare_routes(old: &ConfigDocument, new: &ConfigDocument, changes: &mut Vec<DocumentChange>) {
    let rows = |document: &ConfigDocument| -> BTreeMap<CompactString, RouteRow> {
        let rows = document.routes.iter();
        rows.map(|(_, row)| (row.route.to_compact_string(), row.clone()))
            .collect()
    };
    let (old, new) = (rows(old), rows(new));
    for (name, before) in &old {
        let subject = format_compact!("route {name}");
        match new.get(name) {
            Some(after) => {
                let (before, after) = (route_values(before), route_values(after));
                push_differences(&subject, &before, &after, changes);
            }
            None => changes.push(DocumentChange::new(
                subject,
                "removed; requests that were admitted go on, new ones get 404 unless a shorter prefix matches",
            )),
        }
    }
    for (name, row) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        let text = format_compact!("added for {}{}", row.host, row.prefix);
        changes.push(DocumentChange::new(format_compact!("route {name}"), text));
    }
}

fn route_values(route: &RouteRow) -> Vec<(&'static str, CompactString)> {
    let shares = route.split.iter();
    let split: Vec<_> = shares
        .map(|share| format!("{} {}", share.service, share.weight))
        .collect();
    vec![
        ("matches", format_compact!("{}{}", route.host, route.prefix)),
        ("kind", route.kind.name().into()),
        ("timeout", route.timeout.to_compact_string()),
        ("objective", route.objective.to_compact_string()),
        ("event gap", route.event_gap.to_compact_string()),
        ("attempts", route.max_attempts.to_compact_string()),
        ("priority", route.priority.to_compact_string()),
        ("public", route.is_public.to_compact_string()),
        ("resumable", route.is_resumable.to_compact_string()),
        ("services", split.join(", ").into()),
    ]
}

fn compare_services(old: &ConfigDocument, new: &ConfigDocument, changes: &mut Vec<DocumentChange>) {
    let rows = |document: &ConfigDocument| -> BTreeMap<ServiceId, ServiceRow> {
        let rows = document.services.iter();
        rows.map(|(_, id, row)| (id.clone(), row.clone())).collect()
    };
    let (old, new) = (rows(old), rows(new));
    for (service, before) in &old {
        let text = match new.get(service) {
            None => "removed",
            Some(after) if after != before => "settings change",
            Some(_same) => continue,
        };
        let subject = format_compact!("service {service}");
        changes.push(DocumentChange::new(subject, text));
    }
    for service in new.keys().filter(|service| !old.contains_key(*service)) {
        let subject = format_compact!("service {service}");
        changes.push(DocumentChange::new(subject, "added"));
    }
}

fn compare_workspaces(
    old: &ConfigDocument,
    new: &ConfigDocument,
    changes: &mut Vec<DocumentChange>,
) {
    let (old, new) = (workspace_rows(old), workspace_rows(new));
    for (workspace, before) in &old {
        let subject = format_compact!("workspace {workspace}");
        match new.get(workspace) {
            Some(after) => push_workspace(&subject, before, after, changes),
            None => changes.push(DocumentChange::new(
                subject,
                "removed; requests that were admitted go on, new ones get 401",
            )),
        }
    }
    for (workspace, row) in new.iter().filter(|(id, _)| !old.contains_key(*id)) {
        let text = format_compact!("added with {} keys", row.keys.len());
        changes.push(DocumentChange::new(
            format_compact!("workspace {workspace}"),
            text,
        ));
    }
}

type WorkspaceRows<'a> = BTreeMap<&'a WorkspaceId, &'a super::WorkspaceKeys>;

fn workspace_rows(document: &ConfigDocument) -> WorkspaceRows<'_> {
    let rows = document.workspaces.iter();
    rows.map(|(_, row)| (&row.workspace, row)).collect()
}

fn push_workspace(
    subject: &CompactString,
    before: &super::WorkspaceKeys,
    after: &super::WorkspaceKeys,
    changes: &mut Vec<DocumentChange>,
) {
    let added = after.keys.iter().filter(|key| !before.keys.contains(key));
    let removed = before.keys.iter().filter(|key| !after.keys.contains(key));
    let (added, removed) = (added.count(), removed.count());
    if added + removed > 0 {
        let text = format_compact!("{added} keys added, {removed} taken away");
        changes.push(DocumentChange::new(subject.clone(), text));
    }
    if before.priority != after.priority {
        let name = |priority: Option<amaranthgw_core::PriorityLevel>| {
            priority.map_or("that of the route".into(), |it| it.to_compact_string())
        };
        let (before, after) = (name(before.priority), name(after.priority));
        let text = format_compact!(
            "priority {before} -> {after}; requests that wait keep the urgency that they had"
        );
        changes.push(DocumentChange::new(subject.clone(), text));
    }
}

fn push_differences(
    subject: &CompactString,
    before: &[(&'static str, CompactString)],
    after: &[(&'static str, CompactString)],
    changes: &mut Vec<DocumentChange>,
) {
    let pairs = before.iter().zip(after);
    for ((name, before), (_, after)) in pairs.filter(|(before, after)| before != after) {
        let text = format_compact!("{name} {before} -> {after}");
        changes.push(DocumentChange::new(subject.clone(), text));
    }
}
