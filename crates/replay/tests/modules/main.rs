//! Tests of the modules without sockets, through their public interface.

mod compare;
mod plan;
