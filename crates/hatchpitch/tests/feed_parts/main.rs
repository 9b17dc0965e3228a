//! Transfer of a configuration in parts, from parents that change or fall behind meanwhile.

mod packed;

use arbitrary::Unstructured;
use futures_util::FutureExt;
use hatchpitch::config::feed::ConfigCell;
use hatchpitch::config::transfer::{PartOutcome, Transfer};
use hatchpitch::config::{
    ConfigState, Entity, FailureDomain, FeedAnswer, FeedRequest, Fleet, Rest, verify,
};
use hatchpitch::ids::ConfigNumber;
use hatchpitch_net::{BoxClient, KeyRing, SigningKey};

/// Number of boxes that request concurrently.
const CHILDREN: usize = 120;
/// Maximum size of the send backlog, in bytes, for any number of boxes: one mebibyte and a last
/// part.
const MAX_BACKLOG: usize = 1024 * 1024 + 80 * 1024;
/// Number of entities of a large configuration, 2 MB in total.
const ENTITIES: usize = 2_000;
/// Length of each entity's region name, in bytes.
const REGION_LEN: usize = 1_000;
/// Maximum number of requests of a transfer from a parent that no longer changes.
const MAX_STEPS: usize = 2_000;

fn domain(n: usize, region: String) -> Entity {
    Entity::FailureDomain(FailureDomain { name: format!("domain-{n:04}"), region })
}

/// Prepares and applies a configuration.
fn apply(state: &mut ConfigState, number: ConfigNumber, entities: Vec<Entity>) {
    let change = state.prepare(&Fleet::new(number, entities), "operator").unwrap();
    state.apply(change).unwrap();
}

fn request(have: ConfigNumber, after: Option<&hatchpitch::config::EntityKey>) -> FeedRequest {
    FeedRequest {
        from: "box".to_owned(),
        have,
        hold: Default::default(),
        unconfirmed: false,
        after: after.cloned(),
        evacuations: 0,
        quarantine: 0,
        unpacks: false,
    }
}

fn client() -> BoxClient {
    let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
    BoxClient::new(KeyRing::new(vec![key]).unwrap()).unwrap()
}

fn answer(parent: &ConfigState, req: &FeedRequest, max_bytes: usize) -> FeedAnswer {
    let part = parent.part_since(req.have, req.after.as_ref(), max_bytes);
    FeedAnswer {
        number: parent.number(),
        digest: parent.digest(),
        snapshot: part.snapshot,
        delta: part.delta,
        packed: None,
        rest: part.end.map_or(Rest::Nothing, Rest::After),
        confirmed_age: None,
        evacuated_at: 0,
        evacuations: None,
        quarantine: None,
        held: Default::default(),
    }
}

/// Applies a random fleet.
fn apply_random(u: &mut Unstructured<'_>, state: &mut ConfigState) -> arbitrary::Result<()> {
    let number = state.number() + u.int_in_range(1..=3)?;
    let count = u.int_in_range(0..=30)?;
    let mut entities = Vec::new();
    for _ in 0..count {
        let region = "r".repeat(u.int_in_range(1..=60)?);
        entities.push(domain(u.int_in_range(0..=40)?, region));
    }
    apply(state, number, entities);
    Ok(())
}

/// Brings a parent that is behind up to date with the leader.
fn catch_up(parent: &mut ConfigState, leader: &ConfigState) {
    let (snapshot, delta) = leader.delta_since(parent.number());
    parent.install(leader.number(), leader.digest(), snapshot, &delta).unwrap();
}

/// A box that receives a configuration in parts.
#[derive(Default)]
struct Child {
    state: ConfigState,
    transfer: Option<Transfer>,
}

impl Child {
    fn ask(&mut self, parent: &ConfigState, max_bytes: usize) {
        let have = self.state.number();
        let transfer = self.transfer.get_or_insert_with(|| Transfer::new(have));
        let (since, after) = transfer.next();
        let req = request(since, after);
        let answer = answer(parent, &req, max_bytes);
        if answer.number <= have {
            return;
        }
        let (number, digest) = (answer.number, answer.digest);
        match transfer.process(&req, answer) {
            PartOutcome::Complete { snapshot, delta } => {
                self.transfer = None;
                // A mix of parts of two contents fails the digest check, and the transfer restarts.
                let before = self.state.clone();
                if self.state.install(number, digest, snapshot, &delta).is_ok() {
                    verify::verify_step(&before, &self.state).unwrap();
                } else {
                    assert_eq!(before, self.state, "a failed install changed the state");
                }
            }
            PartOutcome::Restart => self.transfer = None,
            PartOutcome::Duplicate => panic!("only one request is sent at a time"),
            PartOutcome::Unavailable | PartOutcome::Incomplete => {}
        }
    }
}

#[test]
fn a_transfer_ends_with_the_configuration_of_the_leader() {
    arbtest::arbtest(|u| {
        let (mut leader, mut follower, mut child) =
            (ConfigState::default(), ConfigState::default(), Child::default());
        apply_random(u, &mut leader)?;
        for _ in 0..u.int_in_range(0..=60)? {
            match u.int_in_range(0..=9)? {
                0 => apply_random(u, &mut leader)?,
                1 => catch_up(&mut follower, &leader),
                2..=4 => child.ask(&follower, u.int_in_range(1..=200)?),
                _ => child.ask(&leader, u.int_in_range(1..=200)?),
            }
        }
        let mut steps = 0;
        while child.state.number() < leader.number() {
            child.ask(&leader, 100);
            steps += 1;
            assert!(steps < MAX_STEPS, "the transfer does not end");
        }
        assert_eq!(child.state.digest(), leader.digest());
        Ok(())
    })
    .size_max(4_096);
}

#[test]
fn a_transfer_ends_although_the_number_changes_with_each_part() {
    let entities = |marked: usize| (0..200).map(move |n| domain(n, format!("{}", n == marked)));
    let (mut leader, mut child) = (ConfigState::default(), Child::default());
    apply(&mut leader, 1, entities(0).collect());
    for number in 2..40 {
        child.ask(&leader, 1_000);
        apply(&mut leader, number, entities(number as usize).collect());
    }
    assert!(child.state.number() > 0, "frequent changes keep the transfer from ending");
}

#[test]
fn parts_are_bounded_and_contain_each_change_once() {
    let mut state = ConfigState::default();
    apply(&mut state, 1, (0..50).map(|n| domain(n, "a".repeat(20))).collect());
    apply(&mut state, 2, (20..70).map(|n| domain(n, "b".repeat(20))).collect());
    let (_, whole) = state.delta_since(1);
    let (mut upserts, mut removals, mut after) = (Vec::new(), Vec::new(), None);
    loop {
        let part = state.part_since(1, after.as_ref(), 300);
        let bytes: usize = part.delta.upserts.iter().map(Entity::encoded_len).sum();
        assert!(bytes < 300 + 100, "{bytes} bytes in a part");
        upserts.extend(part.delta.upserts);
        removals.extend(part.delta.removals);
        match part.end {
            Some(key) => after = Some(key),
            None => break,
        }
    }
    assert_eq!((upserts, removals), (whole.upserts, whole.removals));
}

#[test]
fn the_backlog_of_concurrent_requests_is_bounded() {
    let client = client();
    let mut state = ConfigState::default();
    apply(&mut state, 1, (0..ENTITIES).map(|n| domain(n, "x".repeat(REGION_LEN))).collect());
    let cell = ConfigCell::new(client.backlog().clone());
    cell.replace(&state);
    let req = request(0, None);
    // No answer is sent until all of them are created.
    let held: Vec<_> = (0..CHILDREN)
        .map(|_| {
            client.respond(&cell.answer(&req).now_or_never().expect("the answer is not delayed"))
        })
        .collect();
    assert_eq!(held.len(), CHILDREN);
    let waiting = client.backlog().waiting();
    assert!(waiting.bytes <= MAX_BACKLOG, "{waiting:?}");
}
