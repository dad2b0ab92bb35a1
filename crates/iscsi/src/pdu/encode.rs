//! Encodes PDUs.

use super::header::{
    ASYNC_EVENT, ASYNC_PARAMETERS, BUFFER_OFFSET, CDB, CID, DATA_SN, DESIRED_LENGTH, EXP_STAT_SN,
    EXPECTED_LENGTH, FINAL, HAS_STATUS, HeaderWriter, ITT, LOGIN_STATUS, LUN, READ, REFERENCED_TAG,
    RESIDUAL_COUNT, RESPONSE, SIMPLE_TASK, STATUS, STATUS_QUALIFIER, TTT, WRITE, opcode,
};
use super::{Pdu, RESERVED_TAG, Residual};
use bytes::Bytes;

/// Returns `flag` if it is set, and 0 otherwise.
fn flag(set: bool, flag: u8) -> u8 {
    if set { flag } else { 0 }
}

impl Pdu {
    /// Encodes the PDU: its header, and its data segment with padding.
    pub fn encode(&self) -> Bytes {
        match self {
            Pdu::NopOut { immediate, lun, itt, ttt, cmd_sn, exp_stat_sn, data } => {
                HeaderWriter::new(opcode::NOP_OUT)
                    .immediate(*immediate)
                    .flags(FINAL)
                    .u64(LUN, *lun)
                    .u32(ITT, *itt)
                    .u32(TTT, *ttt)
                    .command_numbers(*cmd_sn, *exp_stat_sn)
                    .finish(data)
            }
            Pdu::ScsiCommand {
                immediate,
                last,
                read,
                write,
                lun,
                itt,
                length,
                cmd_sn,
                exp_stat_sn,
                cdb,
                data,
            } => HeaderWriter::new(opcode::SCSI_COMMAND)
                .immediate(*immediate)
                .flags(flag(*last, FINAL) | flag(*read, READ) | flag(*write, WRITE) | SIMPLE_TASK)
                .u64(LUN, *lun)
                .u32(ITT, *itt)
                .u32(EXPECTED_LENGTH, *length)
                .command_numbers(*cmd_sn, *exp_stat_sn)
                .bytes(CDB, cdb)
                .finish(data),
            Pdu::TaskRequest { immediate, function, lun, itt, referenced, cmd_sn, exp_stat_sn } => {
                HeaderWriter::new(opcode::TASK_REQUEST)
                    .immediate(*immediate)
                    .flags(FINAL | function)
                    .u64(LUN, *lun)
                    .u32(ITT, *itt)
                    .u32(REFERENCED_TAG, *referenced)
                    .command_numbers(*cmd_sn, *exp_stat_sn)
                    .finish(&[])
            }
            Pdu::LoginRequest(login) => login
                .encode(HeaderWriter::new(opcode::LOGIN_REQUEST).immediate(true))
                .u16(CID, login.cid)
                .command_numbers(login.cmd_sn, login.exp_stat_sn)
                .finish(&login.data),
            Pdu::DataOut { last, lun, itt, ttt, exp_stat_sn, data_sn, offset, data } => {
                HeaderWriter::new(opcode::DATA_OUT)
                    .flags(flag(*last, FINAL))
                    .u64(LUN, *lun)
                    .u32(ITT, *itt)
                    .u32(TTT, *ttt)
                    .u32(EXP_STAT_SN, *exp_stat_sn)
                    .u32(DATA_SN, *data_sn)
                    .u32(BUFFER_OFFSET, *offset)
                    .finish(data)
            }
            Pdu::LogoutRequest { immediate, reason, itt, cid, cmd_sn, exp_stat_sn } => {
                HeaderWriter::new(opcode::LOGOUT_REQUEST)
                    .immediate(*immediate)
                    .flags(FINAL | reason)
                    .u32(ITT, *itt)
                    .u16(CID, *cid)
                    .command_numbers(*cmd_sn, *exp_stat_sn)
                    .finish(&[])
            }
            Pdu::NopIn { lun, itt, ttt, seq, data } => HeaderWriter::new(opcode::NOP_IN)
                .flags(FINAL)
                .u64(LUN, *lun)
                .u32(ITT, *itt)
                .u32(TTT, *ttt)
                .sequence(seq)
                .finish(data),
            Pdu::ScsiResponse { response, status, qualifier, itt, seq, residual, data } => {
                HeaderWriter::new(opcode::SCSI_RESPONSE)
                    .flags(FINAL | residual.flags())
                    .byte(RESPONSE, *response)
                    .byte(STATUS, *status)
                    .u16(STATUS_QUALIFIER, *qualifier)
                    .u32(ITT, *itt)
                    .u32(RESIDUAL_COUNT, residual.count())
                    .sequence(seq)
                    .finish(data)
            }
            Pdu::TaskResponse { response, itt, seq } => HeaderWriter::new(opcode::TASK_RESPONSE)
                .flags(FINAL)
                .byte(RESPONSE, *response)
                .u32(ITT, *itt)
                .sequence(seq)
                .finish(&[]),
            Pdu::LoginResponse { login, seq, status } => login
                .encode(HeaderWriter::new(opcode::LOGIN_RESPONSE))
                .u16(LOGIN_STATUS, *status)
                .sequence(seq)
                .finish(&login.data),
            Pdu::DataIn { last, status, itt, seq, data_sn, offset, data } => {
                let header = HeaderWriter::new(opcode::DATA_IN)
                    .u32(ITT, *itt)
                    .u32(TTT, RESERVED_TAG)
                    .u32(DATA_SN, *data_sn)
                    .u32(BUFFER_OFFSET, *offset)
                    .sequence(seq);
                with_status(header, flag(*last, FINAL), status).finish(data)
            }
            Pdu::LogoutResponse { response, itt, seq } => HeaderWriter::new(opcode::LOGOUT_RESPONSE)
                .flags(FINAL)
                .byte(RESPONSE, *response)
                .u32(ITT, *itt)
                .sequence(seq)
                .finish(&[]),
            Pdu::R2t { lun, itt, ttt, seq, r2t_sn, offset, length } => HeaderWriter::new(opcode::R2T)
                .flags(FINAL)
                .u64(LUN, *lun)
                .u32(ITT, *itt)
                .u32(TTT, *ttt)
                .u32(DATA_SN, *r2t_sn)
                .u32(BUFFER_OFFSET, *offset)
                .u32(DESIRED_LENGTH, *length)
                .sequence(seq)
                .finish(&[]),
            Pdu::Async { event, seq, parameters } => {
                let header = HeaderWriter::new(opcode::ASYNC)
                    .flags(FINAL)
                    .byte(ASYNC_EVENT, *event)
                    .u32(ITT, RESERVED_TAG)
                    .sequence(seq);
                let parameters = ASYNC_PARAMETERS.into_iter().zip(*parameters);
                parameters.fold(header, |header, (at, value)| header.u16(at, value)).finish(&[])
            }
            Pdu::Reject { reason, seq, data } => HeaderWriter::new(opcode::REJECT)
                .flags(FINAL)
                .byte(RESPONSE, *reason)
                .u32(ITT, RESERVED_TAG)
                .sequence(seq)
                .finish(data),
        }
    }
}

/// Writes the flags of a Data-In, and the command's status if it carries one.
fn with_status(header: HeaderWriter, flags: u8, status: &Option<(u8, Residual)>) -> HeaderWriter {
    match status {
        None => header.flags(flags),
        Some((status, residual)) => header
            .flags(flags | HAS_STATUS | residual.flags())
            .byte(STATUS, *status)
            .u32(RESIDUAL_COUNT, residual.count()),
    }
}
