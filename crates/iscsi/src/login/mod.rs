//! The login phase: the target's and the initiator's part of the negotiation.

mod keys;

use crate::pdu::{Login, Pdu, Sequence};
use crate::reader::{PduReader, ReadError};
use bytes::Bytes;
use keys::Keys;
use std::io;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

pub use keys::SessionParameters;

/// Stages of the login phase.
const SECURITY: u8 = 0;
const OPERATIONAL: u8 = 1;
const FULL_FEATURE: u8 = 3;

/// Status codes of a login response.
const SUCCESS: u16 = 0x0000;
const INITIATOR_ERROR: u16 = 0x0200;
const NO_SUCH_TARGET: u16 = 0x0203;
const INVALID_DURING_LOGIN: u16 = 0x020b;

/// First byte of an initiator's part of a session identifier in the random format (RFC 7143, section 11.12.5).
const RANDOM_ISID_FORMAT: u8 = 0x80;
/// The first CmdSN and StatSN of a session.
const FIRST_SN: u32 = 1;

/// Why a login failed.
#[derive(Debug, thiserror::Error)]
pub enum LoginError {
    /// The connection broke or ended.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The initiator sent something other than a login request.
    #[error("expected a login request")]
    NoRequest,
    /// The target rejected the login with this status.
    #[error("login rejected with status {0:#06x}")]
    Rejected(u16),
    /// The target sent a login response with this status that does not complete the login.
    #[error("login not completed, target responded with status {0:#06x}")]
    NotCompleted(u16),
    /// The target sent something other than a login response.
    #[error("expected a login response")]
    NoResponse,
    /// The target's login keys cannot be parsed.
    #[error("login keys are not KEY=VALUE text")]
    UnreadableKeys,
}

impl From<LoginError> for io::Error {
    fn from(error: LoginError) -> io::Error {
        match error {
            LoginError::Io(error) => error,
            error => io::Error::new(io::ErrorKind::InvalidData, error),
        }
    }
}

/// Performs the target's part of a login as the target named `name`, whose sessions accept `window` commands
/// at a time. Not cancel safe: after a cancellation the connection cannot be used again.
///
/// # Errors
/// The login failed. The initiator was sent the status if the connection still allowed it.
pub async fn accept<R: AsyncRead + Unpin, W: AsyncWrite + Unpin>(
    reader: &mut PduReader<R>,
    writer: &mut W,
    name: &str,
    window: u32,
) -> Result<SessionParameters, LoginError> {
    let mut keys = Keys::default();
    let mut stat_sn = FIRST_SN;
    loop {
        let request = match reader.next().await {
            Ok(Pdu::LoginRequest(request)) => request,
            Ok(_) | Err(ReadError::Rejected(..) | ReadError::TooLong(_)) => {
                let status = INVALID_DURING_LOGIN;
                let rejection = respond(&Login::default(), stat_sn, 0, status, Bytes::new(), window);
                writer.write_all(&rejection.encode()).await?;
                return Err(LoginError::NoRequest);
            }
            Err(ReadError::Io(error)) => return Err(error.into()),
            Err(ReadError::End) => return Err(unexpected_end()),
        };
        let offered = Keys::parse(&request.data);
        keys.extend(offered.as_ref());
        let status = check_request(&request, offered.is_some(), &keys, name);
        let answers = match status {
            SUCCESS => offered.unwrap_or_default().answers(),
            _ => Bytes::new(),
        };
        let response = respond(&request, stat_sn, request.cmd_sn, status, answers, window);
        writer.write_all(&response.encode()).await?;
        if status != SUCCESS {
            return Err(LoginError::Rejected(status));
        }
        stat_sn += 1;
        if request.transit && request.next == FULL_FEATURE {
            return Ok(keys.session_parameters(request.cmd_sn, stat_sn));
        }
    }
}

/// Checks the stages of a login request and all keys received so far. Returns the status to respond with.
fn check_request(request: &Login, readable: bool, keys: &Keys, name: &str) -> u16 {
    let known_stage = matches!(request.current, SECURITY | OPERATIONAL);
    let forward = matches!(request.next, OPERATIONAL | FULL_FEATURE) && request.next > request.current;
    let stages_fit = known_stage && (!request.transit || forward);
    if !stages_fit || !readable || !keys.describe_normal_session() {
        INITIATOR_ERROR
    } else if keys.target_name() != Some(name) {
        NO_SUCH_TARGET
    } else {
        SUCCESS
    }
}

fn respond(request: &Login, stat_sn: u32, exp_cmd_sn: u32, status: u16, data: Bytes, window: u32) -> Pdu {
    let completed = request.transit && request.next == FULL_FEATURE;
    let login = Login {
        data,
        tsih: u16::from(completed),
        transit: request.transit && status == SUCCESS,
        ..request.clone()
    };
    let max_cmd_sn = exp_cmd_sn.wrapping_add(window - 1);
    Pdu::LoginResponse { login, seq: Sequence { stat_sn, exp_cmd_sn, max_cmd_sn }, status }
}

/// Performs the initiator's part of a login, which begins in the operational stage, without authentication.
/// Not cancel safe.
///
/// # Errors
/// The connection broke, the target rejected the login, or its response is invalid.
pub async fn log_in<R: AsyncRead + Unpin, W: AsyncWrite + Unpin>(
    reader: &mut PduReader<R>,
    writer: &mut W,
    initiator: &str,
    target: &str,
) -> Result<(SessionParameters, Sequence), LoginError> {
    let request = Login {
        transit: true,
        current: OPERATIONAL,
        next: FULL_FEATURE,
        isid: random_isid(),
        itt: 0,
        cmd_sn: FIRST_SN,
        data: keys::offer(initiator, target),
        ..Login::default()
    };
    writer.write_all(&Pdu::LoginRequest(request).encode()).await?;
    match reader.next().await {
        Ok(Pdu::LoginResponse { login, seq, status: SUCCESS })
            if login.transit && login.next == FULL_FEATURE =>
        {
            let keys = Keys::parse(&login.data).ok_or(LoginError::UnreadableKeys)?;
            Ok((keys.session_parameters(FIRST_SN, seq.stat_sn.wrapping_add(1)), seq))
        }
        Ok(Pdu::LoginResponse { status, .. }) => Err(LoginError::NotCompleted(status)),
        Err(ReadError::Io(error)) => Err(error.into()),
        Err(ReadError::End) => Err(unexpected_end()),
        _ => Err(LoginError::NoResponse),
    }
}

/// Draws the initiator's part of the identifier of a new session. A login with the name and the identifier of another
/// session ends that session at the target, with its open commands, so two sessions must not have the same, even if
/// other processes with the same name opened them.
fn random_isid() -> [u8; 6] {
    let mut isid: [u8; 6] = rand::random();
    isid[0] = RANDOM_ISID_FORMAT;
    isid
}

fn unexpected_end() -> LoginError {
    LoginError::Io(io::ErrorKind::UnexpectedEof.into())
}
