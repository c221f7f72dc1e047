//! Reading a document: shape by its type, ranges by its rules.

use compact_str::{CompactString, ToCompactString};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::document::JsonDocument;
use super::rule::{RefusedField, refused_fields, rule_of};
use super::{FieldPath, FieldProblem, FieldRule, ProblemKind, Result, TextPosition};

/// Reads `document` as a `T` whose fields all keep their `rules`.
///
/// # Errors
///
/// Returns every field that is unknown, missing or out of range; text that is not JSON and a
/// field given twice are returned alone.
pub(crate) fn parse_document<T: DeserializeOwned>(
    document: &JsonDocument,
    rules: &[FieldRule],
) -> Result<T> {
    let value: Value = serde_json::from_str(document.text())
        .map_err(|error| document.error(vec![shape_problem(&error)]))?;
    let problems = rule_problems(document, rules, &value);
    if !problems.is_empty() {
        return Err(document.error(problems));
    }
    // What the rules leave to the type: the same field given twice.
    let mut input = serde_json::Deserializer::from_str(document.text());
    serde_path_to_error::deserialize(&mut input).map_err(|error| {
        let path = FieldPath::from(error.path());
        let allowed = allowed_at(rules, &path);
        let problem = FieldProblem {
            path,
            allowed,
            ..shape_problem(error.inner())
        };
        document.error(vec![problem])
    })
}

/// The problem of the field at `path`, at its position in `document`.
pub(crate) fn field_problem(
    document: &JsonDocument,
    rules: &[FieldRule],
    path: FieldPath,
    kind: ProblemKind,
) -> FieldProblem {
    FieldProblem {
        position: document.locate(&path),
        allowed: allowed_at(rules, &path),
        path,
        kind,
    }
}

fn rule_problems(document: &JsonDocument, rules: &[FieldRule], value: &Value) -> Vec<FieldProblem> {
    let problem = |field: RefusedField| FieldProblem {
        position: document.locate(&field.path),
        path: field.path,
        kind: field.kind,
        allowed: Some(field.allowed),
    };
    refused_fields(rules, value)
        .into_iter()
        .map(problem)
        .collect()
}

fn allowed_at(rules: &[FieldRule], path: &FieldPath) -> Option<CompactString> {
    rule_of(rules, path).map(|rule| rule.range.to_compact_string())
}

fn shape_problem(error: &serde_json::Error) -> FieldProblem {
    let text = error.to_compact_string();
    // The position is a field of its own, so the parser's own mention of it is left out.
    let message = text
        .rsplit_once(" at line ")
        .map_or(&*text, |(message, _)| message);
    FieldProblem {
        position: TextPosition {
            line: error.line(),
            column: error.column(),
        },
        path: FieldPath::new(),
        kind: ProblemKind::Shape(message.into()),
        allowed: None,
    }
}
