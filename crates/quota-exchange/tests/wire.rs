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
fn the_longest_datagram_fits_and_is_read() {
    let message = message(MAX_VOLUMES_PER_DATAGRAM as u64);
    let bytes = encode(&KEY, Peer(3), &message);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(decode(&KEY, Peer(3), &bytes), Ok(message));
}

// Forged, torn, from another sender, of another version: nothing of it is used.
#[test]
fn what_is_not_the_fleets_is_not_taken() {
    let bytes = encode(&KEY, Peer(3), &message(2));
    for end in 0..bytes.len() {
        assert!(decode(&KEY, Peer(3), &bytes[..end]).is_err(), "cut at {end}");
    }
    for place in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 1;
        assert!(decode(&KEY, Peer(3), &spoilt).is_err(), "changed at {place}");
    }
    assert_eq!(decode(&KEY, Peer(4), &bytes), Err(DecodeError::BadCode), "another sender");
    assert_eq!(decode(&[8; 32], Peer(3), &bytes), Err(DecodeError::BadCode), "another fleet");
    assert_eq!(decode(&KEY, Peer(3), &[&[2], &bytes[1..]].concat()), Err(DecodeError::UnknownVersion(2)));
    assert_eq!(decode(&KEY, Peer(3), &[1; 300]), Err(DecodeError::BadLength));
}
