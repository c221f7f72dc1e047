//! What is wrong with a configuration.

use compact_str::{CompactString, format_compact};
use serde::Serialize;

use super::ConfigDocument;
use super::{keys, routes};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingLevel {
    /// The configuration does something else than it says.
    Warning,
    /// A row is not used, or requests fail because of it.
    Error,
}

impl FindingLevel {
    /// Label in output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Warning => "warning",
            Self::Error => "error",
        }
    }
}

/// A finding in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigFinding {
    /// How serious it is.
    pub level: FindingLevel,
    /// Where it stands, such as `routes[3]`.
    pub place: CompactString,
    /// What was found; never holds a key.
    pub text: CompactString,
}

impl ConfigFinding {
    pub(super) fn error(place: &str, text: CompactString) -> Self {
        Self {
            level: FindingLevel::Error,
            place: place.into(),
            text,
        }
    }

    pub(super) fn warning(place: &str, text: CompactString) -> Self {
        Self {
            level: FindingLevel::Warning,
            place: place.into(),
            text,
        }
    }
}

impl std::fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}: {}", self.level.name(), self.place, self.text)
    }
}

/// Finds errors, rows that can never match and limits that contradict each other; sorted by place.
#[must_use]
pub fn check_document(document: &ConfigDocument) -> Vec<ConfigFinding> {
    let unusable = document.unusable.iter();
    let mut findings: Vec<_> = unusable
        .map(|row| ConfigFinding::error(&row.place, format_compact!("skipped: {}", row.reason)))
        .collect();
    routes::check(document, &mut findings);
    keys::check(document, &mut findings);
    check_services(document, &mut findings);
    findings.sort_by(|a, b| a.place.cmp(&b.place));
    findings
}

fn check_services(document: &ConfigDocument, findings: &mut Vec<ConfigFinding>) {
    for (index, (place, service, _row)) in document.services.iter().enumerate() {
        let earlier = &document.services[..index];
        if let Some((first, _, _)) = earlier.iter().find(|(_, id, _)| id == service) {
            let text = format_compact!("service {service} is also {first}, which is not used");
            findings.push(ConfigFinding::error(place, text));
        }
        let is_routed = document.routes.iter().any(|(_, route)| {
            let mut split = route.split.iter();
            split.any(|share| share.service == *service)
        });
        if !is_routed {
            let text = format_compact!("no route leads to service {service}");
            findings.push(ConfigFinding::warning(place, text));
        }
    }
}
