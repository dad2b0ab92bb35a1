//! An iSCSI-style front over TCP.
