//! Random messages between replicas, and random commands of the log.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use arbitrary::{Result, Unstructured};
use hatchpitch::claims::{ClaimId, ClaimRequest, SettleRequest, Settlement};
use hatchpitch::control::machine::{Command, Machine, Order};
use hatchpitch::evacuation::EvacuationOrder;
use hatchpitch::quarantine::{ContentId, Crash, CrashedRun, Evidence, SuspectedParts};
use hatchpitch::replication::messages::LogEnd;
use hatchpitch::replication::{
    Entry, HardState, Members, Message, Payload, Peer, Replica, ReplicaConfig, Restored, Snapshot,
};

const EXTREMES: [u64; 9] = [0, 1, 2, 3, 5, u64::MAX / 2, u64::MAX - 2, u64::MAX - 1, u64::MAX];

fn number(u: &mut Unstructured) -> Result<u64> {
    Ok(*u.choose(&EXTREMES)?)
}

fn small(u: &mut Unstructured) -> Result<u64> {
    u.int_in_range(0..=6)
}

/// Returns an extreme number now and then, else a small one.
fn mixed(u: &mut Unstructured) -> Result<u64> {
    if u.ratio(1, 6)? { number(u) } else { small(u) }
}

fn duration(u: &mut Unstructured) -> Result<Duration> {
    let extremes = [Duration::ZERO, Duration::from_millis(u64::MAX), Duration::MAX];
    if u.arbitrary()? { Ok(*u.choose(&extremes)?) } else { Ok(Duration::from_millis(small(u)?)) }
}

fn members() -> Members {
    let addr = |id: u64| ([127, 0, 0, 1], id as u16).into();
    let peer =
        |id: u64| Peer { name: id.to_string(), boxes_addr: addr(id), operators_addr: addr(id) };
    Members { voters: (1..=3).map(|id| (id, peer(id))).collect(), learners: BTreeMap::new() }
}

fn message(u: &mut Unstructured) -> Result<Message> {
    let term = mixed(u)?;
    let end = LogEnd { term: mixed(u)?, index: mixed(u)? };
    Ok(match u.int_in_range(0..=9)? {
        0 => Message::PreVote { term, end },
        1 => Message::PreVoteReply { term, granted: u.arbitrary()? },
        2 => Message::Vote { term, end, handed_over: u.arbitrary()? },
        3 => Message::VoteReply { term, granted: u.arbitrary()? },
        4 => Message::HandOver { term },
        5 => Message::AppendReply {
            term,
            matched: u.arbitrary()?,
            index: mixed(u)?,
            round: mixed(u)?,
        },
        6 => Message::Install {
            term,
            end,
            members: if u.arbitrary()? { members() } else { Members::default() },
            data: Vec::new(),
            round: mixed(u)?,
        },
        _ => {
            let mut entries = Vec::new();
            for at in 0..small(u)? {
                let follows = end.index.wrapping_add(1 + at);
                let index = if u.ratio(9, 10)? { follows } else { mixed(u)? };
                let payload =
                    if u.arbitrary()? { Payload::Noop } else { Payload::Command(vec![1]) };
                entries.push(Entry { term: mixed(u)?, index, payload });
            }
            Message::Append { term, prev: end, entries, commit: mixed(u)?, round: mixed(u)? }
        }
    })
}

/// Guards against a control process that ends because of what another one sends, and again at each
/// start because of what the log then holds.
#[test]
fn random_messages_of_replicas_are_processed_without_a_panic() {
    for seed in 0..400_u64 {
        arbtest::arbtest(|u| {
            let mut now = Instant::now();
            let snapshot = Snapshot {
                end: LogEnd { term: 0, index: 0 },
                members: members(),
                data: Vec::new(),
            };
            let restored = Restored { hard: HardState::default(), snapshot, entries: Vec::new() };
            let mut replica = Replica::new(1, ReplicaConfig::default(), restored, seed, now);
            while !u.is_empty() {
                now += Duration::from_millis(u.int_in_range(0..=3_000)?);
                match u.int_in_range(0..=6)? {
                    0 => replica.tick(now),
                    1 => drop(replica.propose(vec![vec![1]], now)),
                    _ => replica.receive(u.int_in_range(2..=4)?, message(u)?, now),
                }
                let end = replica.end().index;
                drop(replica.ready());
                replica.persisted(end, now);
            }
            Ok(())
        })
        .seed(seed << 32 | 2_000)
        .run();
    }
}

fn content(u: &mut Unstructured) -> Result<ContentId> {
    Ok(ContentId::of(&[&[u.int_in_range(0..=5_u8)?]]))
}

fn claim_id(u: &mut Unstructured) -> Result<ClaimId> {
    Ok(ClaimId { workspace: "w".into(), key: small(u)?.to_string() })
}

fn order(u: &mut Unstructured) -> Result<Order> {
    let attempt = small(u)?.to_string();
    Ok(match u.int_in_range(0..=5)? {
        0 => Order::Claim(ClaimRequest {
            id: claim_id(u)?,
            content: [0; 32],
            attempt,
            run_limit: duration(u)?,
        }),
        1 => {
            let settlements = [Settlement::NotRun, Settlement::Unknown];
            let settlement = u.choose(&settlements)?.clone();
            Order::Settle(SettleRequest { id: claim_id(u)?, attempt, settlement })
        }
        2 => Order::Evacuate(EvacuationOrder::Begin(attempt)),
        3 => Order::Evacuate(EvacuationOrder::End(attempt)),
        _ => {
            let mut evidence = Evidence::default();
            for _ in 0..small(u)? {
                let mut runs = Vec::new();
                for _ in 0..small(u)? {
                    let run = CrashedRun { content: content(u)?, ran_for: duration(u)? };
                    let parts = [content(u)?, content(u)?].into();
                    let prompt = SuspectedParts { workspace: "w".into(), parts };
                    evidence.prompts.insert(run.content, prompt);
                    runs.push(run);
                }
                evidence.crashes.push(Crash { life: small(u)?.to_string(), runs });
            }
            if u.ratio(1, 4)? {
                evidence.answered.insert(content(u)?);
            }
            Order::Crashes(evidence)
        }
    })
}

/// Guards against a command that ends every control process, again at each start.
#[test]
fn random_commands_of_the_log_are_applied_without_a_panic() {
    for seed in 0..200_u64 {
        arbtest::arbtest(|u| {
            let (mut machine, mut at) = (Machine::new(), 1_000_000_u64);
            while !u.is_empty() {
                // Clocks of leaders step by 2,400 s, and may show anything.
                at = match u.int_in_range(0..=20)? {
                    0 => number(u)?,
                    1 => at.saturating_add(2_400_000),
                    2 => at.saturating_sub(2_400_000),
                    _ => at.saturating_add(small(u)? * 100),
                };
                machine.apply(Command { at, order: order(u)? });
            }
            Ok(())
        })
        .seed(seed << 32 | 4_000)
        .run();
    }
}
