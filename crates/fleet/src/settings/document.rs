//! JSON document with comments, which finds the positions of its fields in the original text.

use std::io::Read;

use compact_str::CompactString;
use json_comments::StripComments;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use super::{DocumentError, FieldPath, FieldProblem, PathPart, TextPosition};

/// Named JSON text whose comments are replaced by spaces, which keeps all positions.
#[derive(Clone, Debug)]
pub(crate) struct JsonDocument {
    name: CompactString,
    text: String,
}

impl JsonDocument {
    /// Creates the document from `text` with comments; `name` is the file name that errors show.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let mut stripped = Vec::with_capacity(text.len());
        let read = StripComments::new(text.as_bytes()).read_to_end(&mut stripped);
        // Stripping fails on an unclosed comment or string; the parser then reports the original
        // text.
        let is_aligned = read.is_ok() && stripped.len() == text.len();
        let stripped = is_aligned.then(|| restore_lines(text, stripped));
        let text = stripped.flatten().unwrap_or_else(|| text.to_owned());
        Self {
            name: name.into(),
            text,
        }
    }

    /// Text without comments.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Creates the error with `problems`, sorted by position and without duplicates.
    pub(crate) fn error(&self, problems: Vec<FieldProblem>) -> DocumentError {
        DocumentError::new(self.name.clone(), problems)
    }

    /// Position of the field at `path`, or of the nearest enclosing field that exists.
    pub(crate) fn locate(&self, path: &FieldPath) -> TextPosition {
        let mut found = None;
        let mut input = serde_json::Deserializer::from_str(&self.text);
        let seed = LocateSeed {
            base: self.text.as_ptr().addr(),
            parts: path.parts(),
            is_element: false,
            found: &mut found,
        };
        // The walk fails only if the text is not JSON; the position found before that is still
        // valid.
        drop(seed.deserialize(&mut input));
        self.position(found.unwrap_or(0))
    }

    fn position(&self, offset: usize) -> TextPosition {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        let mut lines = before.split(|byte| *byte == b'\n');
        let column = lines.next_back().map_or(0, <[u8]>::len) + 1;
        let line = lines.count() + 1;
        TextPosition { line, column }
    }
}

/// Restores the line ends of `text` that were replaced as part of a comment.
fn restore_lines(text: &str, mut stripped: Vec<u8>) -> Option<String> {
    for (byte, original) in stripped.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = b'\n';
        }
    }
    String::from_utf8(stripped).ok()
}

/// Deserialisation seed that walks to a field. Keys and strings without escapes are borrowed from
/// the document, so their address gives their offset.
struct LocateSeed<'a> {
    base: usize,
    parts: &'a [PathPart],
    /// Whether the value is an element of an array.
    is_element: bool,
    found: &'a mut Option<usize>,
}

impl<'de> DeserializeSeed<'de> for LocateSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for LocateSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut is_first = true;
        while let Some(KeyText { text, address }) = map.next_key()? {
            // 1 for the opening quote.
            let offset = address.map(|address| address - self.base - 1);
            // An element without the field is located by its first key.
            if self.is_element && is_first {
                *self.found = offset.or(*self.found);
            }
            is_first = false;
            let rest = match self.parts {
                [PathPart::Key(key), rest @ ..] if *key == text => rest,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                    continue;
                }
            };
            *self.found = offset.or(*self.found);
            if rest.is_empty() {
                map.next_value::<IgnoredAny>()?;
            } else {
                map.next_value_seed(LocateSeed {
                    base: self.base,
                    parts: rest,
                    is_element: false,
                    found: &mut *self.found,
                })?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let [PathPart::Index(index), rest @ ..] = self.parts else {
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        for _ in 0..*index {
            seq.next_element::<IgnoredAny>()?;
        }
        seq.next_element_seed(LocateSeed {
            base: self.base,
            parts: rest,
            is_element: true,
            found: &mut *self.found,
        })?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_borrowed_str<E>(self, v: &'de str) -> Result<(), E> {
        if self.parts.is_empty() {
            *self.found = Some(v.as_ptr().addr() - self.base);
        }
        Ok(())
    }

    fn visit_str<E>(self, _v: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_bool<E>(self, _v: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _v: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _v: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _v: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}

/// Key and, if it contains no escapes, its address in the document.
struct KeyText {
    text: CompactString,
    address: Option<usize>,
}

impl<'de> serde::Deserialize<'de> for KeyText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(KeyVisitor)
    }
}

struct KeyVisitor;

impl<'de> Visitor<'de> for KeyVisitor {
    type Value = KeyText;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_borrowed_str<E>(self, v: &'de str) -> Result<KeyText, E> {
        Ok(KeyText {
            text: v.into(),
            address: Some(v.as_ptr().addr()),
        })
    }

    fn visit_str<E>(self, v: &str) -> Result<KeyText, E> {
        Ok(KeyText {
            text: v.into(),
            address: None,
        })
    }
}
