//! Parsing of a document into a type, after validation against its field rules.

use compact_str::{CompactString, ToCompactString};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::document::JsonDocument;
use super::rule::{InvalidField, invalid_fields, rule_of};
use super::{FieldPath, FieldProblem, FieldRule, ProblemKind, Result, TextPosition};

/// Parses `document` as a `T` whose fields conform to `rules`.
///
/// # Errors
///
/// Returns all fields that are unknown, missing or out of range. If the text is not JSON or repeats
/// a field, that is the only problem reported.
pub(crate) fn parse_document<T: DeserializeOwned>(
    document: &JsonDocument,
    rules: &[FieldRule],
) -> Result<T> {
    let value: Value = serde_json::from_str(document.text())
        .map_err(|error| document.error(vec![parser_problem(&error)]))?;
    let problems = rule_problems(document, rules, &value);
    if !problems.is_empty() {
        return Err(document.error(problems));
    }
    // The rules don't detect a repeated field; deserialisation into the type does.
    let mut input = serde_json::Deserializer::from_str(document.text());
    serde_path_to_error::deserialize(&mut input).map_err(|error| {
        let path = FieldPath::from(error.path());
        let allowed = allowed_at(rules, &path);
        let problem = FieldProblem {
            path,
            allowed,
            ..parser_problem(error.inner())
        };
        document.error(vec![problem])
    })
}

/// Creates a problem of the field at `path`, with the field's position in `document`.
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
    let problem = |field: InvalidField| FieldProblem {
        position: document.locate(&field.path),
        path: field.path,
        kind: field.kind,
        allowed: Some(field.allowed),
    };
    invalid_fields(rules, value)
        .into_iter()
        .map(problem)
        .collect()
}

fn allowed_at(rules: &[FieldRule], path: &FieldPath) -> Option<CompactString> {
    rule_of(rules, path).map(|rule| rule.range.to_compact_string())
}

fn parser_problem(error: &serde_json::Error) -> FieldProblem {
    let text = error.to_compact_string();
    // The position is reported separately, so it is removed from the parser's message.
    let message = text
        .rsplit_once(" at line ")
        .map_or(&*text, |(message, _)| message);
    FieldProblem {
        position: TextPosition {
            line: error.line(),
            column: error.column(),
        },
        path: FieldPath::new(),
        kind: ProblemKind::Message(message.into()),
        allowed: None,
    }
}
