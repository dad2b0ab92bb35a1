//! Converts the names of volumes, objects and idempotency keys to numbers, by a keyed hash if the mapping has
//! a secret key.

use super::error::{MappingError, Source};
use super::format::AnonymiseTable;
use std::path::Path;
use toml::Spanned;

/// The kind of a name, which is part of a keyed hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    Volume,
    Piece,
    IdempotencyKey,
}

impl NameKind {
    /// The text that is added to a keyed hash. A change of it changes the numbers of all anonymised names.
    fn domain(self) -> &'static str {
        match self {
            NameKind::Volume => "volume",
            NameKind::Piece => "piece",
            NameKind::IdempotencyKey => "key",
        }
    }
}

/// Converts names to numbers.
#[derive(Debug)]
pub struct Names {
    /// The secret key; absent if names are not anonymised.
    key: Option<[u8; 32]>,
}

impl Names {
    /// Reads the `anonymise` table; a relative path of a key file refers to `folder`.
    ///
    /// # Errors
    /// The table has neither a key nor a key file, or both; the file cannot be read; or the key is not 64 hex
    /// digits. No error contains the key.
    pub fn read(
        source: &Source<'_>,
        table: Option<AnonymiseTable>,
        folder: &Path,
    ) -> Result<Names, MappingError> {
        let key = table.map(|table| read_key(source, table, folder)).transpose()?;
        Ok(Names { key })
    }

    /// Whether names are hashed with a secret key.
    pub fn anonymises(&self) -> bool {
        self.key.is_some()
    }

    /// The number of a name: the value of 16 hex digits, otherwise a hash. With a secret key, it is always a
    /// keyed hash.
    pub fn number(&self, kind: NameKind, name: &str) -> u64 {
        let is_number = name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit());
        let hash = match &self.key {
            None if is_number => return u64::from_str_radix(name, 16).unwrap_or(0),
            None => blake3::hash(name.as_bytes()),
            // With the kind, so that the hash of a volume does not reveal an object of the same name.
            Some(key) => blake3::keyed_hash(key, format!("{}\0{name}", kind.domain()).as_bytes()),
        };
        u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8]))
    }

    /// The number for a number in the daemon's own log: the same, or its keyed hash if names are anonymised.
    pub fn anonymise(&self, kind: NameKind, value: u64) -> u64 {
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
        (Some(key), Some(_)) => {
            Err(source.error_at(&key, "anonymise.key", "must not be set together with key_file"))
        }
        (None, None) => Err(source.error_without_line("anonymise.key", "is missing; set key or key_file")),
    }
}

fn parse_key(
    source: &Source<'_>,
    value: &Spanned<String>,
    key: &str,
    text: &str,
) -> Result<[u8; 32], MappingError> {
    let hash = blake3::Hash::from_hex(text.trim())
        // The key is secret, so that the error leaves it out.
        .map_err(|_| source.error_at(value, key, "must be 64 hex digits"))?;
    Ok(*hash.as_bytes())
}
