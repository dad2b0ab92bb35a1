//! Tests of the datagram format.

use rowanglade_quota_exchange::wire::{DecodeError, Key, MAX_DATAGRAM_BYTES, decode, encode};
use rowanglade_quota_exchange::{MAX_VOLUMES_PER_DATAGRAM, Message, Nonce, Peer, VolumeUnits};

const KEY: Key = [7; 32];

fn message(volumes: u64) -> Message {
    let nonce = Nonce { incarnation: 0x1234_5678_9abc_def0, sequence: 77 };
    let entry = |volume| VolumeUnits { volume, units: 1_000 + volume as u32 };
    Message::Request { nonce, needed: (0..volumes).map(entry).collect() }
}

#[test]
fn a_datagram_with_the_most_volumes_fits_and_is_decoded() {
    let message = message(MAX_VOLUMES_PER_DATAGRAM as u64);
    let bytes = encode(&KEY, Peer(3), &message);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(decode(&KEY, Peer(3), &bytes), Ok(message));
}

// Forged, truncated or changed datagrams and those of another sender, fleet or version.
#[test]
fn datagrams_that_the_sender_did_not_make_are_rejected() {
    let bytes = encode(&KEY, Peer(3), &message(2));
    for end in 0..bytes.len() {
        assert!(decode(&KEY, Peer(3), &bytes[..end]).is_err(), "truncated to {end} bytes");
    }
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(decode(&KEY, Peer(3), &changed).is_err(), "byte {index} changed");
    }
    assert_eq!(decode(&KEY, Peer(4), &bytes), Err(DecodeError::BadCode), "another sender");
    assert_eq!(decode(&[8; 32], Peer(3), &bytes), Err(DecodeError::BadCode), "another fleet");
    assert_eq!(decode(&KEY, Peer(3), &[&[2], &bytes[1..]].concat()), Err(DecodeError::UnknownVersion(2)));
    assert_eq!(decode(&KEY, Peer(3), &[1; 300]), Err(DecodeError::BadLength));
}
