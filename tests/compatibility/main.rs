//! Compatibility tests with recorded samples of what other processes, other builds and operators read and
//! write. Each test decodes its sample and encodes it again to the same bytes. So they fail if a type or a
//! field is renamed without keeping its name on the wire, even where a default value would hide the lost
//! name.

mod admin;
mod configuration;
mod handover;
mod inspection;
