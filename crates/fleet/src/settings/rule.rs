//! Validation rules for the fields of a document.

use std::net::SocketAddr;

use amaranthgw_core::{ByteCount, DomainId, MilliSpan, RequestRate};
use compact_str::{CompactString, ToCompactString, format_compact};
use serde_json::{Map, Value};

use super::{FieldPath, PathPart, ProblemKind};

/// Maximum number of characters of an invalid value that an error shows.
const MAX_SHOWN_CHARS: usize = 64;

/// Type and allowed range of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldRange {
    /// An identifier.
    Id,
    /// An IP address with a port, as text.
    Address,
    /// An address to listen on; port 0 selects a free port.
    Listen,
    /// An integer within inclusive bounds.
    Number(u64, u64),
    /// A number from 0 to the given maximum, with or without a fraction.
    Decimal(u32),
    /// A number of bytes within inclusive bounds.
    Bytes(ByteCount, ByteCount),
    /// A duration within inclusive bounds.
    Span(MilliSpan, MilliSpan),
    /// A request rate within inclusive bounds.
    Rate(RequestRate, RequestRate),
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// An array.
    Rows,
    /// An object.
    Group,
}

impl FieldRange {
    /// Whether `value` has the right type and is in range.
    #[must_use]
    pub fn allows(&self, value: &Value) -> bool {
        let number = || value.as_u64();
        match self {
            // All identifiers have the same syntax.
            Self::Id => parsed::<DomainId>(value).is_some(),
            Self::Address => parsed::<SocketAddr>(value).is_some_and(|address| address.port() > 0),
            Self::Listen => parsed::<SocketAddr>(value).is_some(),
            Self::Number(min, max) => number().is_some_and(|number| in_range(number, *min, *max)),
            Self::Decimal(max) => {
                let decimal = value.as_f64();
                decimal.is_some_and(|decimal| in_range(decimal, 0.0, f64::from(*max)))
            }
            Self::Bytes(min, max) => {
                number().is_some_and(|number| in_range(number, min.get(), max.get()))
            }
            Self::Span(min, max) => parsed(value).is_some_and(|span| in_range(span, *min, *max)),
            Self::Rate(min, max) => parsed(value).is_some_and(|rate| in_range(rate, *min, *max)),
            Self::OneOf(texts) => value.as_str().is_some_and(|text| texts.contains(&text)),
            Self::Flag => value.is_boolean(),
            Self::Rows => value.is_array(),
            Self::Group => value.is_object(),
        }
    }
}

impl std::fmt::Display for FieldRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Id => f.write_str("a text of 1 to 64 letters, digits or any of . _ - : /"),
            Self::Address => f.write_str("a text like 10.0.0.1:8080 with a port from 1 to 65535"),
            Self::Listen => f.write_str("a text like 10.0.0.1:8080; port 0 takes a free port"),
            Self::Number(min, max) => write!(f, "a whole number from {min} to {max}"),
            Self::Decimal(max) => write!(f, "a number from 0 to {max}"),
            Self::Bytes(min, max) => write!(f, "a whole number of bytes from {min} to {max}"),
            Self::Span(min, max) => write!(f, "a text like 250ms, 3s or 2min from {min} to {max}"),
            Self::Rate(min, max) => write!(f, "a text like 200/s from {min} to {max}"),
            Self::OneOf(texts) => write!(f, "one of {}", texts.join(", ")),
            Self::Flag => f.write_str("true or false"),
            Self::Rows => f.write_str("a list of rows"),
            Self::Group => f.write_str("a group of fields"),
        }
    }
}

fn parsed<T: std::str::FromStr>(value: &Value) -> Option<T> {
    value.as_str().and_then(|text| text.parse().ok())
}

fn in_range<T: PartialOrd + Copy>(value: T, min: T, max: T) -> bool {
    min <= value && value <= max
}

/// Rule for one field of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldRule {
    /// Path pattern of the field; `[]` matches every element of an array.
    pub field: &'static str,
    /// Allowed values.
    pub range: FieldRange,
    /// Default value as shown to users; `None` if the field is required.
    pub default: Option<&'static str>,
}

impl FieldRule {
    /// Creates the rule of a required field.
    #[must_use]
    pub const fn new(field: &'static str, range: FieldRange) -> Self {
        Self {
            field,
            range,
            default: None,
        }
    }

    /// Makes the field optional, with the given default.
    #[must_use]
    pub const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }
}

/// Returns the rule of the field at `path`.
pub(super) fn rule_of<'a>(rules: &'a [FieldRule], path: &FieldPath) -> Option<&'a FieldRule> {
    let pattern = pattern_of(path);
    rules.iter().find(|rule| rule.field == pattern)
}

/// Returns the pattern that matches `path`, as written in [`FieldRule::field`].
fn pattern_of(path: &FieldPath) -> CompactString {
    let mut pattern = CompactString::default();
    for part in path.parts() {
        match part {
            PathPart::Index(_) => pattern.push_str("[]"),
            PathPart::Key(key) if pattern.is_empty() => pattern.push_str(key),
            PathPart::Key(key) => pattern = format_compact!("{pattern}.{key}"),
        }
    }
    pattern
}

/// Returns the names and rules of the direct fields of the object `pattern`.
fn fields_within<'a>(
    rules: &'a [FieldRule],
    pattern: &'a str,
) -> impl Iterator<Item = (&'static str, &'a FieldRule)> {
    let name = move |rule: &FieldRule| {
        let rest = rule.field.strip_prefix(pattern)?;
        let name = if pattern.is_empty() {
            rest
        } else {
            rest.strip_prefix('.')?
        };
        (!name.contains(['.', '['])).then_some(name)
    };
    rules
        .iter()
        .filter_map(move |rule| Some((name(rule)?, rule)))
}

/// Field that violates its rule.
pub(super) struct InvalidField {
    pub(super) path: FieldPath,
    pub(super) kind: ProblemKind,
    pub(super) allowed: CompactString,
}

/// Returns all fields of the document `value` that are unknown, missing or out of range.
pub(super) fn invalid_fields(rules: &[FieldRule], value: &Value) -> Vec<InvalidField> {
    let mut invalid = Vec::new();
    visit(rules, &FieldPath::new(), value, &mut invalid);
    invalid
}

fn visit(rules: &[FieldRule], path: &FieldPath, value: &Value, invalid: &mut Vec<InvalidField>) {
    let rule = rule_of(rules, path);
    if let Some(rule) = rule.filter(|rule| !rule.range.allows(value)) {
        let shown = value.to_string().chars().take(MAX_SHOWN_CHARS).collect();
        invalid.push(InvalidField {
            path: path.clone(),
            kind: ProblemKind::OutOfRange(shown),
            allowed: rule.range.to_compact_string(),
        });
        return;
    }
    match value {
        Value::Array(rows) => {
            for (index, row) in rows.iter().enumerate() {
                visit(rules, &path.with_index(index), row, invalid);
            }
        }
        Value::Object(fields) => visit_object(rules, path, fields, invalid),
        _ => {}
    }
}

fn visit_object(
    rules: &[FieldRule],
    path: &FieldPath,
    fields: &Map<String, Value>,
    invalid: &mut Vec<InvalidField>,
) {
    let pattern = pattern_of(path);
    for (key, field) in fields {
        if fields_within(rules, &pattern).any(|(name, _)| name == key) {
            visit(rules, &path.with_key(key), field, invalid);
            continue;
        }
        let names: Vec<_> = fields_within(rules, &pattern)
            .map(|(name, _)| name)
            .collect();
        invalid.push(InvalidField {
            path: path.with_key(key),
            kind: ProblemKind::UnknownField,
            allowed: names.join(", ").into(),
        });
    }
    for (name, rule) in fields_within(rules, &pattern) {
        if rule.default.is_none() && !fields.contains_key(name) {
            invalid.push(InvalidField {
                path: path.with_key(name),
                kind: ProblemKind::MissingField,
                allowed: rule.range.to_compact_string(),
            });
        }
    }
}
