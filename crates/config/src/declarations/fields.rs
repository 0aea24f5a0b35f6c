//! Reads the fields of TOML tables by name and collects diagnostics with line numbers.

use {
    super::Diagnostic,
    std::ops::Range,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// Values in diagnostics are truncated to this many characters.
const MAX_SHOWN_CHARS: usize = 60;

/// Diagnostics of one document.
pub(super) struct Diagnostics<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
    /// Lines with a syntax error. Values that the parser recovered from them are unreliable, so
    /// they get no further diagnostics.
    syntax_error_lines: Vec<usize>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Diagnostics<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = [0].into_iter().chain(breaks.map(|(at, _)| at + 1)).collect();
        Self { file, text, line_starts, syntax_error_lines: Vec::new(), diagnostics: Vec::new() }
    }

    /// Adds an error of the TOML parser.
    pub fn add_syntax_error(&mut self, error: &toml::de::Error) {
        let line = self.line_of(error.span().map_or(0, |span| span.start));
        self.syntax_error_lines.push(line);
        let message = error.message().lines().collect::<Vec<_>>().join(", ");
        self.push(line, "TOML", message, "a TOML document, each name once");
    }

    /// Adds a diagnostic for a value that is not accepted. `redact` hides the value.
    fn add(&mut self, span: Range<usize>, field: &str, accepted: &str, redact: bool) {
        let line = self.line_of(span.start);
        if self.syntax_error_lines.contains(&line) {
            return;
        }
        let value = match redact {
            true => "(not shown)".to_owned(),
            false => truncated(self.text.get(span).unwrap_or_default()),
        };
        self.push(line, field, format!("{value} is not accepted"), accepted);
    }

    fn add_missing(&mut self, span: Range<usize>, field: &str, accepted: &str) {
        // A line with a syntax error may contain the missing field.
        if self.syntax_error_lines.is_empty() {
            self.push(self.line_of(span.start), field, "is missing".to_owned(), accepted);
        }
    }

    fn push(&mut self, line: usize, field: &str, value: String, accepted: &str) {
        let (file, field, accepted) = (self.file.into(), field.into(), accepted.into());
        self.diagnostics.push(Diagnostic { file, line, field, value, accepted });
    }

    fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the diagnostics in the order of their lines.
    pub fn into_sorted(mut self) -> Vec<Diagnostic> {
        self.diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        self.diagnostics
    }
}

fn truncated(value: &str) -> String {
    let line = value.lines().next().unwrap_or_default();
    match line.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &line[..end]),
        None => line.to_owned(),
    }
}

/// The fields of one table. [`Fields::reject_unknown`] reports the fields that have not been read
/// by then.
pub(super) struct Fields<'a, 'f, 't> {
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'a>,
    /// Names of the fields that have been looked up.
    names_read: Vec<&'static str>,
    is_redacted: bool,
    diagnostics: &'f mut Diagnostics<'t>,
}

impl<'a, 'f, 't> Fields<'a, 'f, 't> {
    pub fn new(
        path: &str,
        span: Range<usize>,
        table: &'a DeTable<'a>,
        diagnostics: &'f mut Diagnostics<'t>,
    ) -> Self {
        Self {
            path: path.into(),
            span,
            table,
            names_read: Vec::new(),
            is_redacted: false,
            diagnostics,
        }
    }

    /// Hides the values of this table in diagnostics: a user may have written a secret in place of
    /// its hash.
    pub fn redact_values(&mut self) {
        self.is_redacted = true;
    }

    /// Reads a required field. Adds a diagnostic and returns `None` if the field is missing or
    /// invalid.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        read: impl FnOnce(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.lookup(name) {
            Some(value) => self.parse(name, value, accepted, read),
            None => {
                self.diagnostics.add_missing(self.span.clone(), &self.field_path(name), accepted);
                None
            }
        }
    }

    /// Reads an optional field. Returns `default` if the field is missing. Adds a diagnostic and
    /// returns `None` if it is invalid.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        default: T,
        accepted: &str,
        read: impl FnOnce(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.lookup(name) {
            Some(value) => self.parse(name, value, accepted, read),
            None => Some(default),
        }
    }

    /// Reads an optional array. Each entry that is not accepted gets its own diagnostic.
    pub fn array<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        mut read: impl FnMut(&DeValue<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(value) = self.lookup(name) else { return Some(Vec::new()) };
        let Some(entries) = value.get_ref().as_array() else {
            self.reject(name, value.span(), &format!("an array of {accepted}"));
            return None;
        };
        let count = entries.len();
        let parsed: Vec<T> = entries
            .iter()
            .filter_map(|entry| self.parse(name, entry, accepted, &mut read))
            .collect();
        (parsed.len() == count).then_some(parsed)
    }

    /// Reads a table of tables, such as all teams. Leaves out invalid entries.
    pub fn tables<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&str, &mut Fields<'a, '_, 't>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.lookup(name) else { return Vec::new() };
        let Some(table) = value.get_ref().as_table() else {
            self.reject(name, value.span(), "a table of tables by name");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (key, entry) in table {
            let path = format!("{}.{}", self.field_path(name), key.get_ref());
            match entry.get_ref().as_table() {
                Some(table) => {
                    let span = key.span();
                    let mut fields = Fields::new(&path, span.clone(), table, self.diagnostics);
                    fields.check_name(key.get_ref(), span);
                    found.extend(read(key.get_ref(), &mut fields));
                    fields.reject_unknown();
                }
                // The value is hidden: it may be a secret in place of a key's table.
                None => self.diagnostics.add(entry.span(), &path, "a table", true),
            }
        }
        found
    }

    /// Reads an optional table.
    pub fn table<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&mut Fields<'a, '_, 't>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.lookup(name) else { return Some(default) };
        let Some(table) = value.get_ref().as_table() else {
            self.reject(name, value.span(), "a table");
            return None;
        };
        let mut fields = Fields::new(&self.field_path(name), value.span(), table, self.diagnostics);
        let parsed = read(&mut fields);
        fields.reject_unknown();
        parsed
    }

    /// Adds a diagnostic for a valid value that conflicts with other fields.
    pub fn reject_conflicting(&mut self, name: &'static str, accepted: &str) {
        match self.find(name) {
            Some(value) => self.reject(name, value.span(), accepted),
            None => {
                self.diagnostics.add_missing(self.span.clone(), &self.field_path(name), accepted)
            }
        }
    }

    /// Adds a diagnostic for each field that was not read.
    pub fn reject_unknown(&mut self) {
        let accepted = format!("the fields {}", self.names_read.join(", "));
        for (key, _) in self.table {
            if !self.names_read.contains(&key.get_ref().as_ref()) {
                let field = self.field_path(key.get_ref());
                // Shows only the field's name, which is not secret.
                self.diagnostics.add(key.span(), &field, &accepted, false);
            }
        }
    }

    fn check_name(&mut self, name: &str, span: Range<usize>) {
        if !is_name(name) {
            let accepted = "a name of 1 to 63 characters out of a-z, 0-9 and -";
            self.diagnostics.add(span, &self.path.clone(), accepted, false);
        }
    }

    fn lookup(&mut self, name: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.names_read.push(name);
        self.find(name)
    }

    fn find(&self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table.iter().find(|(key, _)| key.get_ref() == name).map(|(_, value)| value)
    }

    fn parse<T>(
        &mut self,
        name: &'static str,
        value: &'a Spanned<DeValue<'a>>,
        accepted: &str,
        read: impl FnOnce(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let parsed = read(value.get_ref());
        if parsed.is_none() {
            self.reject(name, value.span(), accepted);
        }
        parsed
    }

    fn reject(&mut self, name: &'static str, span: Range<usize>, accepted: &str) {
        self.diagnostics.add(span, &self.field_path(name), accepted, self.is_redacted);
    }

    fn field_path(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }
}

/// Returns whether a name is valid in Object API keys, metrics and program ids.
pub(super) fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(is_allowed)
}
