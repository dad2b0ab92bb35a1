//! The messages between a process and its successor. Guards against a build that cannot read the messages of
//! the one it replaces: a lost field name would start the successor with an empty list, limit or pace,
//! without an error.

use rowanglade::core::AdminCommand;
use rowanglade::handover::{DescriptorShare, Message, send};
use rowanglade_handover::MessageKind;
use rowanglade_object_locations::Observation;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

/// One message per line.
const KINDS: &str = include_str!("samples/handover-words.jsonl");
const WELCOME: &str = include_str!("samples/handover-welcome.json");
const STATE: &str = include_str!("samples/handover-given.json");

fn decoded(line: &str) -> Message {
    serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"))
}

fn encoded(message: &Message) -> String {
    serde_json::to_string(message).expect("JSON")
}

/// A message of each kind, and each message without a kind, with all fields set.
fn messages() -> Vec<Message> {
    let kinds = [
        MessageKind::Hello { version: 1 },
        MessageKind::Welcome,
        MessageKind::Busy,
        MessageKind::VersionMismatch { version: 2 },
        MessageKind::Ready,
        MessageKind::State,
        MessageKind::StateReceived,
        MessageKind::OwnershipGranted,
    ];
    let commands = [AdminCommand::Maint("box-1".into()), AdminCommand::Ready("box-2".into())];
    let observations = [((11, 12), Observation::At(3)), ((13, 14), Observation::NotAt(4))];
    let mut all: Vec<Message> =
        kinds.into_iter().map(|kind| Message { kind: Some(kind), ..Message::default() }).collect();
    all.extend(commands.map(|command| Message { admin_command: Some(command), ..Message::default() }));
    all.extend(
        observations
            .map(|observation| Message { object_observation: Some(observation), ..Message::default() }),
    );
    all.push(Message { share: Some(DescriptorShare { descriptors: 5 }), ..Message::default() });
    all
}

#[test]
fn kinds_commands_and_locations_are_encoded_as_in_the_samples() {
    let written: Vec<String> = messages().iter().map(encoded).collect();
    assert_eq!(written, KINDS.lines().collect::<Vec<_>>());
}

#[test]
fn kinds_commands_and_locations_are_decoded_without_loss() {
    for (line, message) in KINDS.lines().zip(messages()) {
        let read = decoded(line);
        assert_eq!(
            (read.kind, &read.admin_command, read.object_observation, read.share),
            (message.kind, &message.admin_command, message.object_observation, message.share)
        );
        assert_eq!(encoded(&read), line);
    }
}

#[test]
fn a_welcome_keeps_every_field() {
    let read = decoded(WELCOME.trim_end());
    let welcome = read.welcome.as_ref().expect("a welcome");
    assert_eq!((welcome.now, welcome.share.descriptors, welcome.list.version()), (1_234_567, 6, 17));
    assert_eq!(welcome.listeners, ["http", "iscsi", "admin"]);
    assert_eq!(welcome.list.routable_targets().len(), 2, "one of three is removed");
    assert_eq!(encoded(&read), WELCOME.trim_end());
}

// The snapshot has private fields: a lost name would be replaced by a default, or lost silently.
#[test]
fn the_handed_over_state_keeps_every_field() {
    let read = decoded(STATE.trim_end());
    let state = read.state.as_ref().expect("a state");
    assert!(state.maintenance.is_in_maintenance("box-1"));
    assert_eq!(state.object_locations, [((21, 22), Observation::At(1)), ((23, 24), Observation::NotAt(2))]);
    assert_eq!(encoded(&read), STATE.trim_end());
}

#[tokio::test(flavor = "current_thread")]
async fn a_message_is_preceded_by_its_length_in_four_bytes() {
    let (from, mut to) = UnixStream::pair().expect("a pair");
    send(&from, &decoded(WELCOME.trim_end()), &[]).await.expect("sent");
    drop(from);
    let mut bytes = Vec::new();
    to.read_to_end(&mut bytes).await.expect("received");
    let text = WELCOME.trim_end().as_bytes();
    assert_eq!(bytes, [&(text.len() as u32).to_be_bytes(), text].concat());
}
