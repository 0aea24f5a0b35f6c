//! A small JSON parser. Numbers keep their text, so that 64-bit ids stay exact.

use std::{collections::BTreeMap, fmt};

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Value::Object(fields) => fields.get(key).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn set(&mut self, key: &str, value: Value) {
        if let Value::Object(fields) = self {
            fields.insert(key.into(), value);
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Value::Number(number.to_string())
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.into())
    }
}

/// Creates an object.
pub fn object<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Object(fields.into_iter().map(|(key, value)| (key.to_string(), value)).collect())
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => out.write_str("null"),
            Value::Bool(value) => write!(out, "{value}"),
            Value::Number(text) => out.write_str(text),
            Value::Text(text) => write_text(out, text),
            Value::List(items) => {
                out.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(out, "{comma}{item}")?;
                }
                out.write_str("]")
            }
            Value::Object(fields) => {
                out.write_str("{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    out.write_str(if index > 0 { "," } else { "" })?;
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    out.write_str("\"")
}

/// Parses a text. Returns `None` if it is no JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip_space();
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'n' => self.take("null").map(|()| Value::Null),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    if self.peek()? == b']' {
                        self.at += 1;
                        return Some(Value::List(items));
                    }
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    if self.peek()? == b'}' {
                        self.at += 1;
                        return Some(Value::Object(fields));
                    }
                    let key = self.string()?;
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    fields.insert(key, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
            }
            _ => {
                let from = self.at;
                let is_part = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse::<f64>().ok().map(|_| Value::Number(text.into()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.peek()? != b'"' {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            bytes.extend(character.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
