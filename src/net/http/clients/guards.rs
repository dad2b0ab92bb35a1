//! Guards that record on a connection what its handler is doing, for as long as they are held.

use super::connection::ClientConnection;
use std::rc::Rc;

/// Keeps a connection busy until it is dropped; see [`ClientConnection::begin_request`].
#[derive(Debug)]
pub struct ActiveRequest(Rc<ClientConnection>);

impl ActiveRequest {
    pub(super) fn new(connection: &Rc<ClientConnection>) -> ActiveRequest {
        ActiveRequest(Rc::clone(connection))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Marks a request as submitted to the core until it is dropped; see [`ClientConnection::await_response`].
#[derive(Debug)]
pub struct AwaitingResponse(Rc<ClientConnection>);

impl AwaitingResponse {
    pub(super) fn new(connection: &Rc<ClientConnection>) -> AwaitingResponse {
        connection.set_awaiting_response(true);
        AwaitingResponse(Rc::clone(connection))
    }
}

impl Drop for AwaitingResponse {
    fn drop(&mut self) {
        self.0.set_awaiting_response(false);
    }
}
