//! Fields of one table, read by name, with a note of every fault and where it stands.

use {
    super::Fault,
    std::ops::Range,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// The longest value that a fault shows, in characters.
const MAX_SHOWN_CHARS: usize = 60;

/// Faults of one document.
pub(super) struct Faults<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
    /// Lines that are no TOML. What is missing or odd there was not read rightly.
    syntax_lines: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'a> Faults<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = [0].into_iter().chain(breaks.map(|(at, _)| at + 1)).collect();
        Self { file, text, line_starts, syntax_lines: Vec::new(), faults: Vec::new() }
    }

    /// Notes what the TOML parser found.
    pub fn add_syntax(&mut self, error: &toml::de::Error) {
        let line = self.line_of(error.span().map_or(0, |span| span.start));
        self.syntax_lines.push(line);
        let message = error.message().lines().collect::<Vec<_>>().join(", ");
        self.push(line, "TOML", message, "a TOML document, each name once");
    }

    /// Notes a value that is not accepted. A secret place is not shown.
    fn add(&mut self, span: Range<usize>, field: &str, accepted: &str, is_secret: bool) {
        let line = self.line_of(span.start);
        if self.syntax_lines.contains(&line) {
            return;
        }
        let value = match is_secret {
            true => "(not shown)".to_owned(),
            false => shortened(self.text.get(span).unwrap_or_default()),
        };
        self.push(line, field, format!("{value} is not accepted"), accepted);
    }

    fn add_missing(&mut self, span: Range<usize>, field: &str, accepted: &str) {
        // A line that could not be read may hold what is missing.
        if self.syntax_lines.is_empty() {
            self.push(self.line_of(span.start), field, "is missing".to_owned(), accepted);
        }
    }

    fn push(&mut self, line: usize, field: &str, value: String, accepted: &str) {
        let (file, field, accepted) = (self.file.into(), field.into(), accepted.into());
        self.faults.push(Fault { file, line, field, value, accepted });
    }

    fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the faults in the order of their lines.
    pub fn into_sorted(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }
}

fn shortened(value: &str) -> String {
    let line = value.lines().next().unwrap_or_default();
    match line.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &line[..end]),
        None => line.to_owned(),
    }
}

/// The fields of one table. A field that is never asked for is unknown.
pub(super) struct Fields<'a, 'f, 't> {
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'a>,
    asked: Vec<&'static str>,
    is_secret: bool,
    faults: &'f mut Faults<'t>,
}

impl<'a, 'f, 't> Fields<'a, 'f, 't> {
    pub fn new(
        path: &str,
        span: Range<usize>,
        table: &'a DeTable<'a>,
        faults: &'f mut Faults<'t>,
    ) -> Self {
        Self { path: path.into(), span, table, asked: Vec::new(), is_secret: false, faults }
    }

    /// Keeps values of this table out of faults: somebody may put a secret where its hash belongs.
    pub fn keep_secret(&mut self) {
        self.is_secret = true;
    }

    /// Reads a field that has to be there. Returns `None` after noting a fault.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        read: impl FnOnce(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.take(name) {
            Some(value) => self.checked(name, value, accepted, read),
            None => {
                self.faults.add_missing(self.span.clone(), &self.child(name), accepted);
                None
            }
        }
    }

    /// Reads a field that may be left out. Returns `None` after noting a fault.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        default: T,
        accepted: &str,
        read: impl FnOnce(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.take(name) {
            Some(value) => self.checked(name, value, accepted, read),
            None => Some(default),
        }
    }

    /// Reads an array that may be left out. Each entry that is not accepted is a fault of its own.
    pub fn array<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        mut read: impl FnMut(&DeValue<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(value) = self.take(name) else { return Some(Vec::new()) };
        let Some(entries) = value.get_ref().as_array() else {
            self.refuse(name, value.span(), &format!("an array of {accepted}"));
            return None;
        };
        let count = entries.len();
        let read: Vec<T> = entries
            .iter()
            .filter_map(|entry| self.checked(name, entry, accepted, &mut read))
            .collect();
        (read.len() == count).then_some(read)
    }

    /// Reads a table of tables, such as all teams. Entries with faults are left out.
    pub fn tables<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&str, &mut Fields<'a, '_, 't>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.take(name) else { return Vec::new() };
        let Some(table) = value.get_ref().as_table() else {
            self.refuse(name, value.span(), "a table of tables by name");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (key, entry) in table {
            let path = format!("{}.{}", self.child(name), key.get_ref());
            match entry.get_ref().as_table() {
                Some(table) => {
                    let span = key.span();
                    let mut fields = Fields::new(&path, span.clone(), table, self.faults);
                    fields.check_name(key.get_ref(), span);
                    found.extend(read(key.get_ref(), &mut fields));
                    fields.refuse_unknown();
                }
                // This may be a secret in place of a key's table.
                None => self.faults.add(entry.span(), &path, "a table", true),
            }
        }
        found
    }

    /// Reads a table that may be left out.
    pub fn table<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&mut Fields<'a, '_, 't>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.take(name) else { return Some(default) };
        let Some(table) = value.get_ref().as_table() else {
            self.refuse(name, value.span(), "a table");
            return None;
        };
        let mut fields = Fields::new(&self.child(name), value.span(), table, self.faults);
        let read = read(&mut fields);
        fields.refuse_unknown();
        read
    }

    /// Notes a fault of a value that was read but does not go with the others.
    pub fn refuse_value(&mut self, name: &'static str, accepted: &str) {
        match self.find(name) {
            Some(value) => self.refuse(name, value.span(), accepted),
            None => self.faults.add_missing(self.span.clone(), &self.child(name), accepted),
        }
    }

    /// Notes each field that was not asked for.
    pub fn refuse_unknown(&mut self) {
        let accepted = format!("the fields {}", self.asked.join(", "));
        for (key, _) in self.table {
            if !self.asked.contains(&key.get_ref().as_ref()) {
                let field = self.child(key.get_ref());
                // Only the name is shown, which is no secret.
                self.faults.add(key.span(), &field, &accepted, false);
            }
        }
    }

    fn check_name(&mut self, name: &str, span: Range<usize>) {
        if !is_name(name) {
            let accepted = "a name of 1 to 63 characters out of a-z, 0-9 and -";
            self.faults.add(span, &self.path.clone(), accepted, false);
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.asked.push(name);
        self.find(name)
    }

    fn find(&self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table.iter().find(|(key, _)| key.get_ref() == name).map(|(_, value)| value)
    }

    fn checked<T>(
        &mut self,
        name: &'static str,
        value: &'a Spanned<DeValue<'a>>,
        accepted: &str,
        read: impl FnOnce(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let read = read(value.get_ref());
        if read.is_none() {
            self.refuse(name, value.span(), accepted);
        }
        read
    }

    fn refuse(&mut self, name: &'static str, span: Range<usize>, accepted: &str) {
        self.faults.add(span, &self.child(name), accepted, self.is_secret);
    }

    fn child(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }
}

/// Returns whether a name may stand in keys of the Object API, metrics and program ids.
pub(super) fn is_name(name: &str) -> bool {
    let is_known = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(is_known)
}
