//! Decodes PDUs.

use super::header::{
    ASYNC_EVENT, ASYNC_PARAMETERS, BUFFER_OFFSET, CDB, CID, CMD_SN, DATA_SN, DESIRED_LENGTH, EXP_STAT_SN,
    EXPECTED_LENGTH, FINAL, FLAGS, FUNCTION_MASK, HAS_STATUS, HEADER_BYTES, Header, IMMEDIATE, ITT,
    LOGIN_STATUS, LUN, OPCODE, OPCODE_MASK, READ, REFERENCED_TAG, RESIDUAL_COUNT, RESPONSE, STATUS,
    STATUS_QUALIFIER, TTT, WRITE, has_additional_segments, opcode, read_sequence, read_u16, read_u32,
    read_u64,
};
use super::{Login, Pdu, RejectReason, Residual};
use bytes::Bytes;

/// The bits of a flags byte that indicate a residual.
const RESIDUAL_MASK: u8 = 0x06;
const OVERFLOW: u8 = 0x04;
const UNDERFLOW: u8 = 0x02;

impl Pdu {
    /// Decodes a header and its data segment, without padding.
    ///
    /// # Errors
    /// The PDU is not in the supported subset, or its fields contradict each other.
    pub fn decode(header: &Header, data: Bytes) -> Result<Pdu, RejectReason> {
        if has_additional_segments(header) {
            // Extended and bidirectional commands are not supported.
            return Err(RejectReason::CommandNotSupported);
        }
        match header[OPCODE] & OPCODE_MASK {
            opcode::NOP_OUT => Ok(nop_out(header, data)),
            opcode::SCSI_COMMAND => scsi_command(header, data),
            opcode::TASK_REQUEST => Ok(task_request(header)),
            opcode::LOGIN_REQUEST => login_request(header, data),
            opcode::DATA_OUT => Ok(data_out(header, data)),
            opcode::LOGOUT_REQUEST => Ok(logout_request(header)),
            _ => decode_from_target(header, data),
        }
    }
}

/// Decodes a PDU that only targets send.
fn decode_from_target(header: &Header, data: Bytes) -> Result<Pdu, RejectReason> {
    let seq = read_sequence(header);
    let itt = read_u32(header, ITT);
    let response = header[RESPONSE];
    Ok(match header[OPCODE] & OPCODE_MASK {
        opcode::NOP_IN => {
            Pdu::NopIn { lun: read_u64(header, LUN), itt, ttt: read_u32(header, TTT), seq, data }
        }
        opcode::SCSI_RESPONSE => scsi_response(header, data),
        opcode::TASK_RESPONSE => Pdu::TaskResponse { response, itt, seq },
        opcode::LOGIN_RESPONSE => {
            let status = read_u16(header, LOGIN_STATUS);
            Pdu::LoginResponse { login: Login::decode(header, data)?, seq, status }
        }
        opcode::DATA_IN => data_in(header, data),
        opcode::LOGOUT_RESPONSE => Pdu::LogoutResponse { response, itt, seq },
        opcode::R2T => r2t(header),
        opcode::ASYNC => {
            let parameters = ASYNC_PARAMETERS.map(|at| read_u16(header, at));
            Pdu::Async { event: header[ASYNC_EVENT], seq, parameters }
        }
        opcode::REJECT => Pdu::Reject { reason: response, seq, data },
        _ => return Err(RejectReason::CommandNotSupported),
    })
}

fn is_immediate(header: &Header) -> bool {
    header[OPCODE] & IMMEDIATE != 0
}

fn is_final(header: &Header) -> bool {
    header[FLAGS] & FINAL != 0
}

fn nop_out(header: &Header, data: Bytes) -> Pdu {
    Pdu::NopOut {
        immediate: is_immediate(header),
        lun: read_u64(header, LUN),
        itt: read_u32(header, ITT),
        ttt: read_u32(header, TTT),
        cmd_sn: read_u32(header, CMD_SN),
        exp_stat_sn: read_u32(header, EXP_STAT_SN),
        data,
    }
}

fn scsi_command(header: &Header, data: Bytes) -> Result<Pdu, RejectReason> {
    let read = header[FLAGS] & READ != 0;
    let write = header[FLAGS] & WRITE != 0;
    if read && write {
        return Err(RejectReason::InvalidField);
    }
    let mut cdb = [0; 16];
    cdb.copy_from_slice(&header[CDB..HEADER_BYTES]);
    Ok(Pdu::ScsiCommand {
        immediate: is_immediate(header),
        last: is_final(header),
        read,
        write,
        lun: read_u64(header, LUN),
        itt: read_u32(header, ITT),
        length: read_u32(header, EXPECTED_LENGTH),
        cmd_sn: read_u32(header, CMD_SN),
        exp_stat_sn: read_u32(header, EXP_STAT_SN),
        cdb,
        data,
    })
}

fn task_request(header: &Header) -> Pdu {
    Pdu::TaskRequest {
        immediate: is_immediate(header),
        function: header[FLAGS] & FUNCTION_MASK,
        lun: read_u64(header, LUN),
        itt: read_u32(header, ITT),
        referenced: read_u32(header, REFERENCED_TAG),
        cmd_sn: read_u32(header, CMD_SN),
        exp_stat_sn: read_u32(header, EXP_STAT_SN),
    }
}

fn login_request(header: &Header, data: Bytes) -> Result<Pdu, RejectReason> {
    Ok(Pdu::LoginRequest(Login {
        cid: read_u16(header, CID),
        cmd_sn: read_u32(header, CMD_SN),
        exp_stat_sn: read_u32(header, EXP_STAT_SN),
        ..Login::decode(header, data)?
    }))
}

fn data_out(header: &Header, data: Bytes) -> Pdu {
    Pdu::DataOut {
        last: is_final(header),
        lun: read_u64(header, LUN),
        itt: read_u32(header, ITT),
        ttt: read_u32(header, TTT),
        exp_stat_sn: read_u32(header, EXP_STAT_SN),
        data_sn: read_u32(header, DATA_SN),
        offset: read_u32(header, BUFFER_OFFSET),
        data,
    }
}

fn logout_request(header: &Header) -> Pdu {
    Pdu::LogoutRequest {
        immediate: is_immediate(header),
        reason: header[FLAGS] & FUNCTION_MASK,
        itt: read_u32(header, ITT),
        cid: read_u16(header, CID),
        cmd_sn: read_u32(header, CMD_SN),
        exp_stat_sn: read_u32(header, EXP_STAT_SN),
    }
}

fn scsi_response(header: &Header, data: Bytes) -> Pdu {
    Pdu::ScsiResponse {
        response: header[RESPONSE],
        status: header[STATUS],
        qualifier: read_u16(header, STATUS_QUALIFIER),
        itt: read_u32(header, ITT),
        seq: read_sequence(header),
        residual: residual(header),
        data,
    }
}

fn data_in(header: &Header, data: Bytes) -> Pdu {
    let has_status = header[FLAGS] & HAS_STATUS != 0;
    Pdu::DataIn {
        last: is_final(header),
        status: has_status.then(|| (header[STATUS], residual(header))),
        itt: read_u32(header, ITT),
        seq: read_sequence(header),
        data_sn: read_u32(header, DATA_SN),
        offset: read_u32(header, BUFFER_OFFSET),
        data,
    }
}

fn r2t(header: &Header) -> Pdu {
    Pdu::R2t {
        lun: read_u64(header, LUN),
        itt: read_u32(header, ITT),
        ttt: read_u32(header, TTT),
        seq: read_sequence(header),
        r2t_sn: read_u32(header, DATA_SN),
        offset: read_u32(header, BUFFER_OFFSET),
        length: read_u32(header, DESIRED_LENGTH),
    }
}

fn residual(header: &Header) -> Residual {
    let count = read_u32(header, RESIDUAL_COUNT);
    match header[FLAGS] & RESIDUAL_MASK {
        OVERFLOW => Residual::Over(count),
        UNDERFLOW => Residual::Under(count),
        _ => Residual::None,
    }
}

impl Residual {
    /// The bits of a flags byte that indicate this residual.
    pub(super) fn flags(self) -> u8 {
        match self {
            Residual::None => 0,
            Residual::Over(_) => OVERFLOW,
            Residual::Under(_) => UNDERFLOW,
        }
    }

    /// The residual in bytes.
    pub(super) fn count(self) -> u32 {
        match self {
            Residual::None => 0,
            Residual::Over(count) | Residual::Under(count) => count,
        }
    }
}
