//! First start of a control box whose peers have already begun the replicated log.

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
use hatchpitch_e2e::fleet::{OPERATOR_KEY, WAIT_TIMEOUT};
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, Stop, bind, open_message, read_body,
    rmp_response, serve, stop_pair,
};
use hatchpitch_net::{Reservation, keys::to_hex};

const SECRET: &str = "a secret that only the boxes share";
/// Identities of the peers that the test simulates.
const PEERS: [NodeId; 2] = [11, 12];
/// Time for which the peers do not disclose the members of the log. It spans many rounds of
/// introductions.
const DISCLOSURE_DELAY: Duration = Duration::from_millis(600);

/// Returns the key ring shared by all boxes.
fn keys() -> KeyRing {
    KeyRing::new(vec![SigningKey::new("k1".into(), SECRET.into()).unwrap()]).unwrap()
}

/// State shared by the simulated peers.
struct SimulatedPeers {
    /// The box under test, followed by the two simulated peers.
    boxes: Vec<Peer>,
    /// Identity of the box under test, once it has introduced itself.
    own: Cell<Option<NodeId>>,
    /// Whether introductions disclose the members of the log.
    disclose: Cell<bool>,
}

impl SimulatedPeers {
    /// Returns the initial members of the log: the box under test and both peers.
    fn members(&self) -> Option<Members> {
        let ids = [self.own.get()?, PEERS[0], PEERS[1]];
        let voters = ids.into_iter().zip(self.boxes.iter().cloned()).collect();
        Some(Members { voters, learners: Default::default() })
    }

    /// Returns the introduction of the peer at index `place` of `boxes`. Until the peers disclose
    /// the members, the second peer appears unreachable by giving an unknown name.
    fn hello(&self, place: usize) -> Hello {
        let disclose = self.disclose.get();
        let name = if place == 2 && !disclose { "unknown" } else { &self.boxes[place].name };
        let members = self.members().filter(|_| disclose);
        let id = PEERS[place - 1];
        Hello {
            name: name.to_owned(),
            id,
            members,
            leader: None,
            without_disk: false,
            core_size: 0,
        }
    }
}

/// Serves introductions as the peer at index `place`.
async fn serve_peer(peers: Rc<SimulatedPeers>, place: usize, stop: Stop) -> anyhow::Result<()> {
    let listener = bind(peers.boxes[place].boxes_addr).await?;
    let handler: Handler = Rc::new(move |req, _from| {
        let peers = peers.clone();
        async move {
            let (parts, body) = req.into_parts();
            let body = read_body(body, 1 << 20, WAIT_TIMEOUT, Reservation::uncounted())
                .await
                .unwrap_or_default();
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

/// Starts the box under test, which is the first of `boxes`.
fn start_control(dir: &Path, boxes: &[Peer]) -> anyhow::Result<Process> {
    std::fs::write(dir.join("box.key"), SECRET)?;
    let mut text = format!(
        "name = \"{}\"\nboxes_addr = \"{}\"\noperators_addr = \"{}\"\ndata_folder = {:?}\n\
         box_keys = [{{ id = \"k1\", file = {:?} }}]\n\
         [[operator]]\nname = \"root\"\nkeys = [{{ id = \"k1\", sha256 = \"{}\" }}]\n",
        boxes[0].name,
        boxes[0].boxes_addr,
        boxes[0].operators_addr,
        dir.join("data"),
        dir.join("box.key"),
        to_hex(&key_digest(OPERATOR_KEY)),
    );
    for Peer { name, boxes_addr, operators_addr } in boxes {
        text += &format!(
            "\n[[peer]]\nname = \"{name}\"\nboxes_addr = \"{boxes_addr}\"\n\
             operators_addr = \"{operators_addr}\"\n"
        );
    }
    let settings = dir.join("settings.toml");
    std::fs::write(&settings, text)?;
    let args = vec!["--settings".to_owned(), settings.display().to_string()];
    Process::start("control", "hatchpitch-control", args, dir.join("control.log"))
}

/// Returns three boxes with addresses on ports that are currently free.
fn reserve_boxes() -> anyhow::Result<Vec<Peer>> {
    let mut listeners = Vec::new();
    let mut next = || -> anyhow::Result<SocketAddr> {
        listeners.push(std::net::TcpListener::bind("127.0.0.1:0")?);
        Ok(listeners[listeners.len() - 1].local_addr()?)
    };
    let mut peer =
        |i| Ok(Peer { name: format!("control-{i}"), boxes_addr: next()?, operators_addr: next()? });
    (0..3).map(&mut peer).collect()
}

/// Returns log messages of a peer that just started and of a leader with an established log.
fn log_messages() -> Vec<Message> {
    let start = LogEnd { term: 0, index: 0 };
    vec![
        Message::AskLead { life: 1 },
        Message::Append { term: 1, prev: start, entries: Vec::new(), commit: 0, round: 1 },
    ]
}

/// Log messages may reach a new control box before its peers disclose the members; it must still
/// learn the members from later introductions.
#[compio::test]
async fn new_control_box_learns_members_after_early_log_messages() -> anyhow::Result<()> {
    let boxes = reserve_boxes()?;
    let peers = Rc::new(SimulatedPeers { boxes, own: Cell::new(None), disclose: Cell::new(false) });
    let (_handle, stop) = stop_pair();
    for place in [1, 2] {
        serve_peer(peers.clone(), place, stop.clone()).await?;
    }
    let dir = tempfile::tempdir()?;
    let process = start_control(dir.path(), &peers.boxes)?;
    let client = BoxClient::new(keys())?;
    let (to, started) = (peers.boxes[0].boxes_addr, Instant::now());
    let mut known = None;
    while known.is_none() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{}", process.log());
        compio::time::sleep(Duration::from_millis(20)).await;
        let Some(own) = peers.own.get() else { continue };
        peers.disclose.set(started.elapsed() > DISCLOSURE_DELAY);
        let from_peer = |message| Envelope { from: PEERS[0], to: own, message };
        let envelopes = log_messages().into_iter().map(from_peer).collect();
        let batch = LogBatch { reply_to: peers.boxes[1].boxes_addr, envelopes };
        let _: Result<(), _> = client.call(to, LOG_PATH, &batch, WAIT_TIMEOUT).await;
        known = hello(&client, to, &peers.hello(1)).await?.members;
    }
    assert_eq!(known, peers.members(), "{}", process.log());
    Ok(())
}
