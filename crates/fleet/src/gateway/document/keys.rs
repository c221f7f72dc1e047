//! Findings in workspaces and their keys.

use std::collections::BTreeMap;

use amaranthgw_core::{CallerKey, WorkspaceId};
use compact_str::{CompactString, format_compact};

use super::{ConfigDocument, ConfigFinding};

pub(super) fn check(document: &ConfigDocument, findings: &mut Vec<ConfigFinding>) {
    let mut holders: BTreeMap<&CallerKey, (&CompactString, &WorkspaceId)> = BTreeMap::new();
    for (place, row) in &document.workspaces {
        if row.keys.is_empty() {
            let text = format_compact!("workspace {} has no key: nobody can use it", row.workspace);
            findings.push(ConfigFinding::warning(place, text));
        }
        for (index, key) in row.keys.iter().enumerate() {
            let Some((first, workspace)) = holders.insert(key, (place, &row.workspace)) else {
                continue;
            };
            let number = index + 1;
            let text = if *workspace == row.workspace {
                format_compact!("key {number} is there twice (see {first})")
            } else {
                format_compact!(
                    "key {number} is also a key of {workspace} ({first}), which loses it"
                )
            };
            findings.push(ConfigFinding::error(place, text));
        }
    }
}
