//! Compares incremental updates of engine owners with owners computed from scratch.

use hatchpitch::config::{ConfigState, FleetView, load_fleet};
use hatchpitch::dispatch::owners::{OwnerMap, owner_of, shard_count, shard_of};
use hatchpitch::membership::{MemberRecord, MemberStatus, Subject};

fn member(i: u16) -> MemberRecord {
    let addr = ([127, 0, 0, 1], 1_000 + i).into();
    MemberRecord {
        subject: Subject::Box(format!("box-{i}")),
        incarnation: 1,
        status: MemberStatus::Alive,
        addr,
        box_addr: addr,
        failure_domain: if i % 4 == 3 { "far" } else { "d" }.to_owned(),
    }
}

/// Computes the owner of an engine from scratch: the owner of its shard among the boxes of the
/// engine's failure domain, or among all boxes if none of that domain is serving.
fn expected_owner<'a>(
    runner: &str,
    engines: usize,
    boxes: &[&'a MemberRecord],
) -> Option<&'a MemberRecord> {
    let key = format!("p/d/{}", shard_of(runner, shard_count(engines)));
    let near = boxes.iter().copied().filter(|record| record.failure_domain == "d");
    owner_of(&key, near).or_else(|| owner_of(&key, boxes.iter().copied()))
}

/// Returns a view of a fleet that has engine `e{i}` for each bit `i` set in `mask`.
fn view(mask: u32) -> FleetView {
    let mut text = String::from(
        "number = 1\n[[failure_domain]]\nname = \"d\"\nregion = \"r\"\n[[pool]]\nname = \"p\"\n\
         model = \"m\"\nversion = \"1\"\nmax_tokens = 100\n",
    );
    for i in (0..32).filter(|i| mask & (1 << i) != 0) {
        text.push_str(&format!(
            "[[runner]]\nname = \"e{i}\"\npool = \"p\"\naddr = \"127.0.0.1:1\"\n\
             failure_domain = \"d\"\nmax_batch = 8\n"
        ));
    }
    let fleet = load_fleet("f", &text).unwrap();
    let mut state = ConfigState::default();
    let change = state.prepare(&fleet, "t").unwrap();
    state.apply(change).unwrap();
    FleetView::new(&state)
}

#[test]
fn incremental_updates_match_owners_computed_from_scratch() {
    let members: Vec<MemberRecord> = (0..16).map(member).collect();
    for seed in 0..40_u64 {
        arbtest::arbtest(|u| {
            let mut map = OwnerMap::default();
            for _ in 0..12 {
                let (engines, serving): (u32, u16) = (u.arbitrary()?, u.arbitrary()?);
                let view = view(engines);
                let boxes: Vec<&MemberRecord> = (0..16_usize)
                    .filter(|i| serving & (1 << i) != 0)
                    .map(|i| &members[i])
                    .collect();
                map.set_engines(&view);
                map.update(&boxes, &members[3]);
                let mut total = 0;
                let runners = &view.pools[0].runners;
                for runner in runners {
                    let expected = expected_owner(&runner.name, runners.len(), &boxes);
                    let name = expected.map(|record| match &record.subject {
                        Subject::Box(name) | Subject::Upstream(name) => name,
                    });
                    assert_eq!(map.owner(&runner.name), name);
                    let own = expected.is_none_or(|r| r.subject == members[3].subject);
                    assert_eq!(map.owns(&runner.name), own);
                    total += 1;
                }
                assert_eq!(map.owners_of("p").values().sum::<usize>(), total);
                assert!(!map.owns("nobody"));
                assert!(
                    !map.update(&boxes, &members[3]),
                    "an update with the same boxes changes nothing"
                );
            }
            Ok(())
        })
        .seed(seed << 32 | 0x1000)
        .run();
    }
}

#[test]
fn departing_box_moves_only_its_own_engines() {
    let members: Vec<MemberRecord> = (0..8).map(member).collect();
    let all: Vec<&MemberRecord> = members.iter().collect();
    let view = view(u32::MAX);
    let mut map = OwnerMap::default();
    map.set_engines(&view);
    map.update(&all, &members[0]);
    let before: Vec<_> = (0..32).map(|i| map.owner(&format!("e{i}")).cloned().unwrap()).collect();
    map.update(&all[1..], &members[1]);
    for (i, owner) in before.iter().enumerate().filter(|(_, owner)| *owner != "box-0") {
        assert_eq!(map.owner(&format!("e{i}")), Some(owner));
    }
}

#[test]
fn shards_are_small_and_doubling_their_number_keeps_half_of_the_engines_in_place() {
    for engines in 1..200_usize {
        let count = shard_count(engines);
        assert!(engines.div_ceil(count) <= 8, "{engines} engines, {count} shards");
        assert!(count == 1 || engines > 4 * count, "{engines} engines, {count} shards");
    }
    let names: Vec<String> = (0..256).map(|i| format!("e{i}")).collect();
    let stay = names.iter().filter(|name| shard_of(name, 16) == shard_of(name, 32)).count();
    assert!((96..160).contains(&stay), "{stay} of 256 stay");
}

#[test]
fn owners_are_in_the_failure_domain_of_their_engines_while_a_box_serves_there() {
    let members: Vec<MemberRecord> = (0..8).map(member).collect();
    let all: Vec<&MemberRecord> = members.iter().collect();
    let far: Vec<&MemberRecord> = vec![&members[3], &members[7]];
    let view = view(u32::MAX);
    let mut map = OwnerMap::default();
    map.set_engines(&view);
    map.update(&all, &members[0]);
    let owners = map.owners_of("p");
    assert!(owners.keys().all(|addr| far.iter().all(|record| record.box_addr != *addr)));
    map.update(&far, &members[3]);
    assert_eq!(map.owners_of("p").values().sum::<usize>(), 32);
    let addr = map.owner_addr("e0");
    assert!(far.iter().any(|record| Some(record.box_addr) == addr), "{addr:?}");
}
