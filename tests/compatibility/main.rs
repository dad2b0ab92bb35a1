//! Recorded samples of what other processes, other builds and operators read and write. Each test decodes its
//! sample and encodes it again to the same bytes, so that renaming a type or a field in the code without
//! keeping its name on the wire fails here, also where a default would hide the lost name.

mod admin;
mod configuration;
mod handover;
mod inspection;
