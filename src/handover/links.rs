//! The links to other processes, each with a task of its own.

use super::codec::{self, MessageReader};
use super::message::Message;
use rowanglade_handover::LinkId;
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use tokio::net::UnixStream;
use tokio::sync::mpsc;

/// Messages that may wait for a link, and inputs of links that may wait for the actor.
const MAILBOX_CAPACITY: usize = 64;

/// A message with its descriptors.
type Outgoing = (Message, Vec<OwnedFd>);

/// What a link's task reports.
#[derive(Debug)]
pub(super) enum LinkInput {
    /// A message came, with its descriptors.
    Received(LinkId, Box<Message>, Vec<OwnedFd>),
    /// The link broke, or was closed.
    Closed(LinkId),
}

/// All links that hold.
#[derive(Debug)]
pub(super) struct Links {
    open: HashMap<LinkId, mpsc::Sender<Outgoing>>,
    next_id: u64,
    input_sender: mpsc::Sender<LinkInput>,
    inputs: mpsc::Receiver<LinkInput>,
}

impl Links {
    /// No link yet.
    pub(super) fn new() -> Links {
        let (input_sender, inputs) = mpsc::channel(MAILBOX_CAPACITY);
        Links { open: HashMap::new(), next_id: 0, input_sender, inputs }
    }

    /// Starts a link's task. It ends when the link is closed or its stream breaks.
    pub(super) fn open(&mut self, stream: UnixStream) -> LinkId {
        let link = LinkId(self.next_id);
        self.next_id += 1;
        let (sender, outgoing) = mpsc::channel(MAILBOX_CAPACITY);
        self.open.insert(link, sender);
        actix_rt::spawn(run_link(link, stream, outgoing, self.input_sender.clone()));
        link
    }

    pub(super) fn close(&mut self, link: LinkId) {
        self.open.remove(&link);
    }

    /// What a link reports next; it waits for as long as there is nothing.
    pub(super) async fn next_input(&mut self) -> Option<LinkInput> {
        self.inputs.recv().await
    }

    /// Sends a message with its descriptors, once the link has room for it.
    pub(super) async fn send(&self, link: LinkId, message: Message, descriptors: Vec<OwnedFd>) {
        if let Some(link) = self.open.get(&link) {
            // A link that does not take it breaks, which its task reports.
            let _ = link.send((message, descriptors)).await;
        }
    }

    /// Sends a message on all links. What one with a full mailbox misses is sent again soon, or of no use to
    /// it.
    pub(super) fn broadcast(&self, message: &Message) {
        for link in self.open.values() {
            let _ = link.try_send((message.clone(), Vec::new()));
        }
    }
}

async fn run_link(
    link: LinkId,
    stream: UnixStream,
    mut outgoing: mpsc::Receiver<Outgoing>,
    inputs: mpsc::Sender<LinkInput>,
) {
    if let Err(error) = exchange_messages(link, &stream, &mut outgoing, &inputs).await {
        tracing::info!(%error, "handover link closed");
    }
    let _ = inputs.send(LinkInput::Closed(link)).await;
}

/// Sends and receives until the link is closed.
///
/// # Errors
/// The stream broke, or what came on it was no message.
async fn exchange_messages(
    link: LinkId,
    stream: &UnixStream,
    outgoing: &mut mpsc::Receiver<Outgoing>,
    inputs: &mpsc::Sender<LinkInput>,
) -> io::Result<()> {
    let mut reader = MessageReader::default();
    loop {
        tokio::select! {
            next = outgoing.recv() => match next {
                Some((message, descriptors)) => codec::send(stream, &message, &descriptors).await?,
                None => return Ok(()),
            },
            received = reader.next(stream) => {
                let (message, descriptors) = received?;
                let _ = inputs.send(LinkInput::Received(link, Box::new(message), descriptors)).await;
            }
        }
    }
}
