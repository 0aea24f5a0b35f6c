//! Declarations: the TOML files that operators keep in version control.
//!
//! A document has four sections: `classes`, `teams`, `keys` and `services`. Each is a table that
//! maps names to tables. One pass checks the whole document. A diagnostic states file, line, field,
//! value and what is accepted. If the TOML syntax is invalid, the parts that parse are still
//! checked.

mod fields;
mod render;
mod sections;
#[cfg(test)]
mod tests;
mod units;

use {
    derive_more::Display,
    fields::{Diagnostics, Fields},
    std::{fs, io, path::Path},
    toml::de::DeTable,
    trefoilring_core::{catalog::Catalog, ids::ConfigVersion},
};

pub use render::render;

/// Declarations before parsing.
#[derive(Clone, Copy, Debug)]
pub struct RawDeclarations<'a> {
    /// File name to show in diagnostics.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// Validated declarations. They have no version; applying them assigns one.
#[derive(Clone, Debug, PartialEq)]
pub struct Declarations {
    /// Invariant: the version is 0, and every class and team that is referred to is declared.
    catalog: Catalog,
}

/// A missing or rejected value, or a syntax error, in a document.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{file}:{line}: {field}: {value}; accepted: {accepted}")]
pub struct Diagnostic {
    /// File name as given by the user.
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Path of the field, such as `teams.north.rate_per_s`.
    pub field: String,
    /// The rejected value, the parser's message, or that the field is missing.
    pub value: String,
    /// Description of the accepted values.
    pub accepted: String,
}

/// Reason why declarations are rejected.
#[derive(Debug, Display)]
pub enum DeclarationsError {
    /// Reading the file failed.
    #[display("{file}: {cause}")]
    Unreadable {
        /// File name as given by the user.
        file: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The document is invalid.
    #[display("{}", join_lines(diagnostics))]
    Invalid {
        /// All diagnostics, in the order of their lines. Invariant: not empty.
        diagnostics: Vec<Diagnostic>,
    },
}

impl std::error::Error for DeclarationsError {}

fn join_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<_> = diagnostics.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Declarations {
    /// Reads a file and validates its content.
    pub fn read(path: &Path) -> Result<Self, DeclarationsError> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => RawDeclarations { file: &file, text: &text }.try_into(),
            Err(cause) => Err(DeclarationsError::Unreadable { file, cause }),
        }
    }

    /// Converts the declarations to a catalog with the given version.
    pub fn into_catalog(self, version: ConfigVersion) -> Catalog {
        Catalog { version, ..self.catalog }
    }

    /// Returns the declarations as a catalog with version 0.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }
}

impl TryFrom<RawDeclarations<'_>> for Declarations {
    type Error = DeclarationsError;

    fn try_from(raw: RawDeclarations<'_>) -> Result<Self, DeclarationsError> {
        let (document, errors) = DeTable::parse_recoverable(raw.text);
        let mut diagnostics = Diagnostics::new(raw.file, raw.text);
        for error in &errors {
            diagnostics.add_syntax_error(error);
        }
        let table = document.get_ref();
        let mut fields = Fields::new("", document.span(), table, &mut diagnostics);
        let catalog = sections::read_catalog(&mut fields);
        fields.reject_unknown();
        let diagnostics = diagnostics.into_sorted();
        match diagnostics.is_empty() {
            true => Ok(Self { catalog }),
            false => Err(DeclarationsError::Invalid { diagnostics }),
        }
    }
}
