//! A small JSON reader for the bodies that the stand-ins receive.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Table(fields) = self else {
            return None;
        };
        fields
            .iter()
            .find(|field| field.0 == name)
            .map(|field| &field.1)
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
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
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    self.skip_space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    self.take(b',');
                }
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !self.take(b']') {
                    items.push(self.value()?);
                    self.take(b',');
                }
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let length = rest.iter().take_while(|byte| is_part(byte)).count();
                let text = std::str::from_utf8(&rest[..length]).ok()?;
                self.at += length;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    // None of the bodies holds any other escape.
                    text.push(match *self.bytes.get(self.at)? {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                    self.at += 1;
                }
                other => text.push(other),
            }
        }
    }
}
