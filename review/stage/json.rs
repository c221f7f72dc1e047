//! A small JSON reader and writer: enough for the bodies that the pages show.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => number.parse().ok(),
            _ => None,
        }
    }

    /// The whole number under `name`; 0 if there is none.
    pub fn whole(&self, name: &str) -> u64 {
        self.get(name).and_then(Json::number).unwrap_or(0)
    }

    /// The text under `name`; empty if there is none.
    pub fn word(&self, name: &str) -> &str {
        self.get(name).and_then(Json::text).unwrap_or("")
    }
}

/// `text` as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if c < ' ' => drop(write!(out, "\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.take(b'}') {
                    return Some(Json::Table(table));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    table.insert(name, self.value()?);
                    if self.take(b'}') {
                        return Some(Json::Table(table));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                (!number.is_empty()).then(|| Json::Number(number.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }
}
