//! Numbers for the names of volumes, pieces and idempotency keys, hashed under a secret key where a file has
//! one.

use super::error::{MappingError, Source};
use super::format::AnonymiseTable;
use std::path::Path;
use toml::Spanned;

/// What a name is the name of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    Volume,
    Piece,
    IdempotencyKey,
}

impl NameKind {
    /// What goes into a keyed hash. Another text gives other numbers for the same names.
    fn domain(self) -> &'static str {
        match self {
            NameKind::Volume => "volume",
            NameKind::Piece => "piece",
            NameKind::IdempotencyKey => "key",
        }
    }
}

/// Turns names into numbers.
#[derive(Debug)]
pub struct Names {
    /// The secret key; none where names are not anonymised.
    key: Option<[u8; 32]>,
}

impl Names {
    /// Reads the `anonymise` table; a key file is looked for in `folder`.
    ///
    /// # Errors The table has neither a key nor a key file, or both; the file cannot be read; the key is not
    /// 64 hex digits. No error shows the key.
    pub fn read(
        source: &Source<'_>,
        table: Option<AnonymiseTable>,
        folder: &Path,
    ) -> Result<Names, MappingError> {
        let key = table.map(|table| read_key(source, table, folder)).transpose()?;
        Ok(Names { key })
    }

    /// Whether names are hashed under a secret key.
    pub fn anonymises(&self) -> bool {
        self.key.is_some()
    }

    /// A name's number: the value of 16 hex digits, or else a hash; always a hash where there is a key.
    pub fn number(&self, kind: NameKind, name: &str) -> u64 {
        let is_number = name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit());
        let hash = match &self.key {
            None if is_number => return u64::from_str_radix(name, 16).unwrap_or(0),
            None => blake3::hash(name.as_bytes()),
            // With the kind, so that a volume's hash says nothing about a piece of the same name.
            Some(key) => blake3::keyed_hash(key, format!("{}\0{name}", kind.domain()).as_bytes()),
        };
        u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8]))
    }

    /// The number that stands for a number which the daemon logged: itself, unless names are anonymised.
    pub fn hide(&self, kind: NameKind, value: u64) -> u64 {
        match self.key {
            Some(_) => self.number(kind, &format!("{value:016x}")),
            None => value,
        }
    }
}

fn read_key(source: &Source<'_>, table: AnonymiseTable, folder: &Path) -> Result<[u8; 32], MappingError> {
    match (table.key, table.key_file) {
        (Some(key), None) => parse_key(source, &key, "anonymise.key", key.get_ref()),
        (None, Some(file)) => {
            let path = folder.join(file.get_ref());
            let text = std::fs::read_to_string(&path).map_err(|error| {
                source.error_at(&file, "anonymise.key_file", format!("{}: {error}", path.display()))
            })?;
            parse_key(source, &file, "anonymise.key_file", &text)
        }
        (Some(key), Some(_)) => Err(source.error_at(&key, "anonymise.key", "stands beside key_file")),
        (None, None) => Err(source.error_without_line("anonymise.key", "is missing")),
    }
}

fn parse_key(
    source: &Source<'_>,
    place: &Spanned<String>,
    key: &str,
    text: &str,
) -> Result<[u8; 32], MappingError> {
    let hash = blake3::Hash::from_hex(text.trim())
        // The key itself is secret and stays out of the message.
        .map_err(|_| source.error_at(place, key, "is not 64 hex digits"))?;
    Ok(*hash.as_bytes())
}
