//! The text keys of a login (RFC 7143, section 13).

use crate::reader::MAX_SEGMENT_BYTES;
use bytes::Bytes;
use std::collections::BTreeMap;

const INITIATOR_NAME: &str = "InitiatorName";
const TARGET_NAME: &str = "TargetName";
const SESSION_TYPE: &str = "SessionType";
const AUTH_METHOD: &str = "AuthMethod";
const MAX_SEGMENT: &str = "MaxRecvDataSegmentLength";
const FIRST_BURST: &str = "FirstBurstLength";
const IMMEDIATE_DATA: &str = "ImmediateData";

/// The smallest MaxRecvDataSegmentLength in bytes that a side may declare.
const MIN_SEGMENT_BYTES: u32 = 512;
/// The MaxRecvDataSegmentLength in bytes of a side that declares none.
const DEFAULT_SEGMENT_BYTES: u32 = 8_192;
/// The newest protocol level (RFC 7144) that this side supports.
const PROTOCOL_LEVEL: u32 = 2;

/// The parameters that a login negotiated.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionParameters {
    /// The initiator's iSCSI name.
    pub initiator: String,
    /// The most bytes that may be sent to the peer in one data segment.
    pub max_segment_bytes: usize,
    /// The most bytes of a write that may be sent with its command.
    pub first_burst_bytes: usize,
    /// Whether data may be sent with a command.
    pub immediate_data: bool,
    /// The next command number (CmdSN).
    pub cmd_sn: u32,
    /// The next status number (StatSN).
    pub stat_sn: u32,
}

/// Text keys and their values.
#[derive(Debug, Default)]
pub(super) struct Keys(BTreeMap<String, String>);

impl Keys {
    /// Parses `KEY=VALUE` pairs that each end with a zero byte; `None`: the data is not UTF-8 or not made of
    /// such pairs.
    pub(super) fn parse(data: &[u8]) -> Option<Keys> {
        let text = std::str::from_utf8(data).ok()?;
        let pairs = text.split('\0').filter(|pair| !pair.is_empty());
        let keys = pairs.map(|pair| {
            let (key, value) = pair.split_once('=')?;
            Some((key.to_string(), value.to_string()))
        });
        keys.collect::<Option<_>>().map(Keys)
    }

    /// Adds keys of a later PDU, which replace earlier ones.
    pub(super) fn extend(&mut self, later: Option<&Keys>) {
        let later = later.into_iter().flat_map(|keys| &keys.0);
        self.0.extend(later.map(|(key, value)| (key.clone(), value.clone())));
    }

    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn number(&self, key: &str, default: u32) -> u32 {
        self.get(key).and_then(|value| value.parse().ok()).unwrap_or(default)
    }

    /// The name of the target that the initiator logs in to.
    pub(super) fn target_name(&self) -> Option<&str> {
        self.get(TARGET_NAME)
    }

    /// Whether the keys describe a session that this side supports: of a named initiator, without
    /// authentication, and not for discovery.
    pub(super) fn describe_normal_session(&self) -> bool {
        let without_auth = |methods: &str| methods.split(',').any(|method| method == "None");
        self.get(INITIATOR_NAME).is_some()
            && self.get(AUTH_METHOD).is_none_or(without_auth)
            && self.get(SESSION_TYPE).is_none_or(|session_type| session_type == "Normal")
    }

    /// Encodes the target's answers to the offered keys.
    pub(super) fn answers(&self) -> Bytes {
        let answers = self.0.iter().filter_map(|(key, offered)| Some((key.as_str(), answer(key, offered)?)));
        encode(answers)
    }

    /// The session parameters that result from the keys.
    pub(super) fn session_parameters(&self, cmd_sn: u32, stat_sn: u32) -> SessionParameters {
        let segment = self.number(MAX_SEGMENT, DEFAULT_SEGMENT_BYTES).max(MIN_SEGMENT_BYTES);
        let first_burst = self.number(FIRST_BURST, MAX_SEGMENT_BYTES as u32);
        SessionParameters {
            initiator: self.get(INITIATOR_NAME).unwrap_or_default().to_string(),
            max_segment_bytes: (segment as usize).min(MAX_SEGMENT_BYTES),
            first_burst_bytes: (first_burst as usize).min(MAX_SEGMENT_BYTES),
            immediate_data: self.get(IMMEDIATE_DATA).is_none_or(|value| value == "Yes"),
            cmd_sn,
            stat_sn,
        }
    }
}

fn encode<'a>(pairs: impl IntoIterator<Item = (&'a str, String)>) -> Bytes {
    pairs.into_iter().flat_map(|(key, value)| format!("{key}={value}\0").into_bytes()).collect()
}

/// The answer to one offered key; `None`: the key needs no answer.
fn answer(key: &str, offered: &str) -> Option<String> {
    let at_most = |ours: u32| offered.parse::<u32>().unwrap_or(ours).min(ours).to_string();
    Some(match key {
        INITIATOR_NAME | "InitiatorAlias" | TARGET_NAME | SESSION_TYPE => return None,
        MAX_SEGMENT => MAX_SEGMENT_BYTES.to_string(),
        AUTH_METHOD | "HeaderDigest" | "DataDigest" => "None".into(),
        "MaxConnections" | "MaxOutstandingR2T" => "1".into(),
        "InitialR2T" | "DataPDUInOrder" | "DataSequenceInOrder" => "Yes".into(),
        IMMEDIATE_DATA if offered == "No" => "No".into(),
        IMMEDIATE_DATA => "Yes".into(),
        "MaxBurstLength" | FIRST_BURST => at_most(MAX_SEGMENT_BYTES as u32),
        "DefaultTime2Wait" | "DefaultTime2Retain" | "ErrorRecoveryLevel" => "0".into(),
        "iSCSIProtocolLevel" => at_most(PROTOCOL_LEVEL),
        _ => "NotUnderstood".into(),
    })
}

/// Encodes the keys that an initiator offers.
pub(super) fn offer(initiator: &str, target: &str) -> Bytes {
    encode([
        (INITIATOR_NAME, initiator.to_string()),
        (TARGET_NAME, target.to_string()),
        (SESSION_TYPE, "Normal".into()),
        ("HeaderDigest", "None".into()),
        ("DataDigest", "None".into()),
        (MAX_SEGMENT, MAX_SEGMENT_BYTES.to_string()),
        ("InitialR2T", "Yes".into()),
        (IMMEDIATE_DATA, "Yes".into()),
        (FIRST_BURST, MAX_SEGMENT_BYTES.to_string()),
        ("MaxBurstLength", MAX_SEGMENT_BYTES.to_string()),
        ("MaxOutstandingR2T", "1".into()),
        ("ErrorRecoveryLevel", "0".into()),
        ("iSCSIProtocolLevel", PROTOCOL_LEVEL.to_string()),
    ])
}
