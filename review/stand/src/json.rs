//! A small JSON reader for the calls that daemons make to the store.

use std::collections::BTreeMap;

/// A JSON value. Numbers and literals are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// An object.
    Object(BTreeMap<String, Json>),
    /// An array.
    Array(Vec<Json>),
    /// A string.
    Text(String),
    /// A number, `true`, `false` or `null`.
    Plain(String),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value()
    }

    /// A member of an object.
    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// The items of an array; none for anything else.
    pub fn items(&self) -> &[Self] {
        match self {
            Self::Array(items) => items,
            _ => &[],
        }
    }

    /// A text member of an object, empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text) | Self::Plain(text)) => text,
            _ => "",
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Text),
            _ => self.plain(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut members = BTreeMap::new();
        self.eat(b'{')?;
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Json::Object(members));
        }
        loop {
            self.peek()?;
            let name = self.string()?;
            self.eat(b':')?;
            let value = self.value()?;
            members.insert(name, value);
            if self.peek()? != b',' {
                self.eat(b'}')?;
                return Some(Json::Object(members));
            }
            self.at += 1;
        }
    }

    fn array(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.eat(b'[')?;
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Json::Array(items));
        }
        loop {
            items.push(self.value()?);
            if self.peek()? != b',' {
                self.eat(b']')?;
                return Some(Json::Array(items));
            }
            self.at += 1;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => bytes.push(other),
            }
        }
    }

    fn plain(&mut self) -> Option<Json> {
        let begin = self.at;
        let ends = |byte: &u8| b",]}".contains(byte) || byte.is_ascii_whitespace();
        while self.bytes.get(self.at).is_some_and(|byte| !ends(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        (!text.is_empty()).then(|| Json::Plain(text.to_owned()))
    }
}
