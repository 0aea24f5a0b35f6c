//! Declarations: what operators keep in version control, as TOML.
//!
//! A document has four kinds of tables: `classes`, `teams`, `keys` and `services`, each by name.
//! Everything is checked in one pass; a fault names file, line, field, value and what is accepted.
//! A document that can't be parsed as TOML still has its readable parts checked.

mod fields;
mod render;
mod sections;
#[cfg(test)]
mod tests;
mod units;

use {
    derive_more::Display,
    fields::{Faults, Fields},
    std::{fs, io, path::Path},
    toml::de::DeTable,
    trefoilring_core::{catalog::Catalog, ids::ConfigVersion},
};

pub use render::render;

/// Text of declarations, unchecked.
#[derive(Clone, Copy, Debug)]
pub struct RawDeclarations<'a> {
    /// Name of the file, for faults.
    pub file: &'a str,
    /// The text.
    pub text: &'a str,
}

/// Checked declarations, without a version: that is given when they are applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Declarations {
    /// Invariant: its version is 0, and each name in it that refers to something is declared.
    catalog: Catalog,
}

/// One fault of a document.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{file}:{line}: {field}: {value}; accepted: {accepted}")]
pub struct Fault {
    /// File as it was named.
    pub file: String,
    /// Line from 1.
    pub line: usize,
    /// Path of the field, such as `teams.north.rate_per_s`.
    pub field: String,
    /// The value as written, or what is wrong where there is none.
    pub value: String,
    /// What is accepted.
    pub accepted: String,
}

/// Why declarations can't be used.
#[derive(Debug, Display)]
pub enum DeclarationsError {
    /// The file can't be read.
    #[display("{file}: {cause}")]
    Unreadable {
        /// File as it was named.
        file: String,
        /// What the system says.
        cause: io::Error,
    },
    /// The document has faults, in the order of their lines. Invariant: at least one.
    #[display("{}", joined(faults))]
    Faulty {
        /// The faults.
        faults: Vec<Fault>,
    },
}

impl std::error::Error for DeclarationsError {}

fn joined(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Declarations {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, DeclarationsError> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => RawDeclarations { file: &file, text: &text }.try_into(),
            Err(cause) => Err(DeclarationsError::Unreadable { file, cause }),
        }
    }

    /// Returns the declarations as in force at a version.
    pub fn into_catalog(self, version: ConfigVersion) -> Catalog {
        Catalog { version, ..self.catalog }
    }

    /// Returns the declared content. Its version is 0.
    pub fn content(&self) -> &Catalog {
        &self.catalog
    }
}

impl TryFrom<RawDeclarations<'_>> for Declarations {
    type Error = DeclarationsError;

    fn try_from(raw: RawDeclarations<'_>) -> Result<Self, DeclarationsError> {
        let (document, errors) = DeTable::parse_recoverable(raw.text);
        let mut faults = Faults::new(raw.file, raw.text);
        for error in &errors {
            faults.add_syntax(error);
        }
        let table = document.get_ref();
        let mut fields = Fields::new("", document.span(), table, &mut faults);
        let catalog = sections::catalog(&mut fields);
        fields.refuse_unknown();
        let faults = faults.into_sorted();
        match faults.is_empty() {
            true => Ok(Self { catalog }),
            false => Err(DeclarationsError::Faulty { faults }),
        }
    }
}
