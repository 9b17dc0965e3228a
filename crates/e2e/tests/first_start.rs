//! The first start of a control box whose peers are ahead of it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch::config::view::key_digest;
use hatchpitch::replication::bootstrap::{HELLO_PATH, Hello, hello};
use hatchpitch::replication::messages::{LogBatch, LogEnd};
use hatchpitch::replication::task::LOG_PATH;
use hatchpitch::replication::{Envelope, Members, Message, NodeId, Peer};
use hatchpitch_e2e::Process;
use hatchpitch_e2e::fleet::{OPERATOR_KEY, PATIENCE};
use hatchpitch_net::keys::to_hex;
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, Stop, bind, open_message, read_body,
    rmp_response, serve, stop_pair,
};

const SECRET: &str = "a secret that only the boxes share";
/// Identities of the peers that the test plays.
const PEERS: [NodeId; 2] = [11, 12];
/// Time for which a peer keeps silent about its log: many rounds of introductions.
const SILENCE: Duration = Duration::from_millis(600);

fn keys() -> KeyRing {
    KeyRing::new(vec![SigningKey::new("k1".into(), SECRET.into()).unwrap()]).unwrap()
}

/// What the peers know.
struct Peers {
    boxes: Vec<Peer>,
    /// Identity of the box under test, once it has introduced itself.
    own: Cell<Option<NodeId>>,
    /// Whether the peers tell of their log.
    tell: Cell<bool>,
}

impl Peers {
    /// All three as the log begins with them.
    fn members(&self) -> Option<Members> {
        let ids = [self.own.get()?, PEERS[0], PEERS[1]];
        let voters = ids.into_iter().zip(self.boxes.iter().cloned()).collect();
        Some(Members { voters, learners: Default::default() })
    }

    /// The introduction of the peer at `place`; the second one is not to be reached at first.
    fn hello(&self, place: usize) -> Hello {
        let told = self.tell.get();
        let name = if place == 2 && !told { "unknown" } else { &self.boxes[place].name };
        let members = self.members().filter(|_| told);
        let id = PEERS[place - 1];
        Hello { name: name.to_owned(), id, members, leader: None, without_disk: false }
    }
}

/// Plays the peer at `place`.
async fn play(peers: Rc<Peers>, place: usize, stop: Stop) -> anyhow::Result<()> {
    let listener = bind(peers.boxes[place].boxes_addr).await?;
    let handler: Handler = Rc::new(move |req, _from| {
        let peers = peers.clone();
        async move {
            let (parts, body) = req.into_parts();
            let body = read_body(body, 1 << 20, PATIENCE).await.unwrap_or_default();
            match open_message::<Hello>(&keys(), HELLO_PATH, &parts.headers, &body) {
                Ok(from) if parts.uri.path() == HELLO_PATH => {
                    peers.own.set(Some(from.id));
                    rmp_response(&peers.hello(place))
                }
                _ => rmp_response(&()),
            }
        }
        .boxed_local()
    });
    compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
    Ok(())
}

fn start(folder: &Path, boxes: &[Peer]) -> anyhow::Result<Process> {
    std::fs::write(folder.join("box.key"), SECRET)?;
    let mut text = format!(
        "name = \"{}\"\nboxes_addr = \"{}\"\noperators_addr = \"{}\"\ndata_folder = {:?}\n\
         box_keys = [{{ id = \"k1\", file = {:?} }}]\n\
         [[operator]]\nname = \"root\"\nkeys = [{{ id = \"k1\", sha256 = \"{}\" }}]\n",
        boxes[0].name,
        boxes[0].boxes_addr,
        boxes[0].operators_addr,
        folder.join("data"),
        folder.join("box.key"),
        to_hex(&key_digest(OPERATOR_KEY)),
    );
    for Peer { name, boxes_addr, operators_addr } in boxes {
        text += &format!(
            "\n[[peer]]\nname = \"{name}\"\nboxes_addr = \"{boxes_addr}\"\n\
             operators_addr = \"{operators_addr}\"\n"
        );
    }
    let settings = folder.join("settings.toml");
    std::fs::write(&settings, text)?;
    let args = vec!["--settings".to_owned(), settings.display().to_string()];
    Process::start("control", "hatchpitch-control", args, folder.join("control.log"))
}

/// Returns the addresses of three boxes on ports that are free now.
fn boxes() -> anyhow::Result<Vec<Peer>> {
    let mut held = Vec::new();
    let mut next = || -> anyhow::Result<SocketAddr> {
        held.push(std::net::TcpListener::bind("127.0.0.1:0")?);
        Ok(held[held.len() - 1].local_addr()?)
    };
    let mut peer =
        |i| Ok(Peer { name: format!("control-{i}"), boxes_addr: next()?, operators_addr: next()? });
    (0..3).map(&mut peer).collect()
}

/// Messages of a leader that is ahead, and of a peer that just started.
fn early_messages() -> Vec<Message> {
    let start = LogEnd { term: 0, index: 0 };
    vec![
        Message::AskLead { life: 1 },
        Message::Append { term: 1, prev: start, entries: Vec::new(), commit: 0, round: 1 },
    ]
}

#[compio::test]
async fn a_first_member_that_hears_the_log_before_its_peers_learns_who_takes_part()
-> anyhow::Result<()> {
    let boxes = boxes()?;
    let peers = Rc::new(Peers { boxes, own: Cell::new(None), tell: Cell::new(false) });
    let (_handle, stop) = stop_pair();
    for place in [1, 2] {
        play(peers.clone(), place, stop.clone()).await?;
    }
    let folder = tempfile::tempdir()?;
    let process = start(folder.path(), &peers.boxes)?;
    let client = BoxClient::new(keys())?;
    let (to, started) = (peers.boxes[0].boxes_addr, Instant::now());
    let mut known = None;
    while known.is_none() {
        assert!(started.elapsed() < PATIENCE, "{}", process.log());
        compio::time::sleep(Duration::from_millis(20)).await;
        let Some(own) = peers.own.get() else { continue };
        peers.tell.set(started.elapsed() > SILENCE);
        let from_peer = |message| Envelope { from: PEERS[0], to: own, message };
        let envelopes = early_messages().into_iter().map(from_peer).collect();
        let batch = LogBatch { reply_to: peers.boxes[1].boxes_addr, envelopes };
        let _: Result<(), _> = client.call(to, LOG_PATH, &batch, PATIENCE).await;
        known = hello(&client, to, &peers.hello(1)).await?.members;
    }
    assert_eq!(known, peers.members(), "{}", process.log());
    Ok(())
}
