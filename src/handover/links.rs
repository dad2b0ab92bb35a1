//! The links to other processes; each is served by its own task.

use super::codec::{self, MessageReader};
use super::message::Message;
use rowanglade_handover::LinkId;
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use tokio::net::UnixStream;
use tokio::sync::mpsc;

/// Capacity in messages of a link's mailbox, and of the channel from the links to the actor.
const MAILBOX_CAPACITY: usize = 64;

/// A message with its descriptors.
type Outgoing = (Message, Vec<OwnedFd>);

/// What the task of a link reports.
#[derive(Debug)]
pub(super) enum LinkInput {
    /// A message arrived, with its descriptors.
    Received(LinkId, Box<Message>, Vec<OwnedFd>),
    /// The link is closed, by either side or by an error.
    Closed(LinkId),
}

/// The open links.
#[derive(Debug)]
pub(super) struct Links {
    open: HashMap<LinkId, mpsc::Sender<Outgoing>>,
    next_id: u64,
    input_sender: mpsc::Sender<LinkInput>,
    inputs: mpsc::Receiver<LinkInput>,
}

impl Links {
    /// Creates an empty set of links.
    pub(super) fn new() -> Links {
        let (input_sender, inputs) = mpsc::channel(MAILBOX_CAPACITY);
        Links { open: HashMap::new(), next_id: 0, input_sender, inputs }
    }

    /// Starts the task of a link, which ends when the link is closed or its stream breaks.
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

    /// The next report of any link; waits until there is one.
    pub(super) async fn next_input(&mut self) -> Option<LinkInput> {
        self.inputs.recv().await
    }

    /// Sends a message with its descriptors, waiting for room in the link's mailbox.
    pub(super) async fn send(&self, link: LinkId, message: Message, descriptors: Vec<OwnedFd>) {
        if let Some(link) = self.open.get(&link) {
            // If the link's task has ended, it reports that itself.
            let _ = link.send((message, descriptors)).await;
        }
    }

    /// Sends a message on all links. A link whose mailbox is full misses it: such messages are either
    /// repeated soon or not needed.
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

/// Sends and receives messages until the link is closed.
///
/// # Errors
/// The stream broke, or the received bytes are not a valid message.
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
