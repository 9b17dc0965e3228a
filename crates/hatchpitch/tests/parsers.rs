//! Parsing of fleet files, settings files and messages.

use std::path::PathBuf;
use std::sync::LazyLock;

use hatchpitch::config::{Fleet, load_fleet};
use hatchpitch::engine::EngineEvent;
use hatchpitch::listener::bind_addr;
use hatchpitch::security::ResponseToken;
use hatchpitch::settings::control::RawControlSettings;
use hatchpitch::settings::diagnostic::load_toml;
use hatchpitch::settings::entry::RawEntrySettings;
use hatchpitch::settings::{ControlSettings, EntrySettings};
use hatchpitch_net::{KeyRing, SigningKey};

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn example_fleet(name: &str) -> Fleet {
    let text = std::fs::read_to_string(examples().join(name).join("fleet.toml")).unwrap();
    load_fleet("fleet.toml", &text).unwrap_or_else(|problems| panic!("{problems}"))
}

/// The key file of the tests. It is written once, because tests read it concurrently.
static KEY_FILE: LazyLock<PathBuf> = LazyLock::new(|| {
    let name = format!("hatchpitch-parsers-test-{}.key", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, "a secret for the parsers' test").unwrap();
    file
});

/// Returns settings with `box_keys` replaced by a key file that exists.
fn with_key(text: &str) -> String {
    let key = &*KEY_FILE;
    let line = format!("box_keys = [{{ id = \"k1\", file = {key:?} }}]");
    let lines = text.lines().map(|l| if l.starts_with("box_keys") { line.as_str() } else { l });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn the_examples_are_valid_and_have_the_expected_sizes() {
    for (name, runners, upstreams, boxes) in [("texas", 15, 3, 12), ("lanka", 12, 3, 9)] {
        let fleet = example_fleet(name);
        let count = |kind| fleet.entities.keys().filter(|key| key.0 == kind).count();
        assert_eq!((count(0), count(2), count(4), count(5)), (3, runners, upstreams, 10), "{name}");
        let mut entry_boxes = 0;
        for file in std::fs::read_dir(examples().join(name)).unwrap() {
            let path = file.unwrap().path();
            let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
            let text = with_key(&std::fs::read_to_string(&path).unwrap());
            if stem.starts_with("control-") {
                load_toml::<RawControlSettings, ControlSettings>(&stem, &text).unwrap();
            } else if stem != "fleet" {
                load_toml::<RawEntrySettings, EntrySettings>(&stem, &text).unwrap();
                entry_boxes += 1;
            }
        }
        assert_eq!(entry_boxes, boxes, "{name}");
    }
}

#[test]
fn every_problem_of_a_file_is_reported_with_its_line() {
    let text = "number = 1\n\n[[failure_domain]]\nname = \"Austin A\"\nregion = \"tx\"\n\n\
                [[runner]]\nname = \"r1\"\npool = \"nothing\"\naddr = \"here\"\n\
                failure_domain = \"mars\"\nmax_batch = 0\n";
    let problems = load_fleet("fleet.toml", text).unwrap_err().to_string();
    let expected = [
        "fleet.toml:4: failure_domain.name: found \"Austin A\", expected 1 to 64 of a-z",
        "fleet.toml:9: runner.pool: found \"nothing\", expected a name defined in this file",
        "fleet.toml:10: runner.addr: found \"here\", expected an address",
        "fleet.toml:11: runner.failure_domain: found \"mars\"",
        "fleet.toml:12: runner.max_batch: found 0, expected 1 to 4096",
    ];
    for line in expected {
        assert!(problems.contains(line), "{line}\nis not in\n{problems}");
    }
}

#[test]
fn unknown_keys_wrong_types_and_syntax_errors_are_reported_with_their_line() {
    let cases = [
        ("number = 1\nnumbr = 2\n", "fleet.toml:2: numbr: found unknown field `numbr`"),
        ("number = \"one\"\n", "fleet.toml:1: number: found invalid type"),
        ("number = 1\n[[pool]\n", "fleet.toml:2:"),
        ("", "number"),
    ];
    for (text, expected) in cases {
        let problems = load_fleet("fleet.toml", text).unwrap_err().to_string();
        assert!(problems.contains(expected), "{text:?}: {problems}");
    }
}

#[test]
fn invalid_and_contradictory_settings_are_rejected() {
    let path = examples().join("quickstart/domain-a-1.toml");
    let text = with_key(&std::fs::read_to_string(path).unwrap());
    let cases = [
        ("stop_grace_ms = 1500", "stop_grace_ms = 1000", "timing.stop_grace_ms"),
        ("stop_grace_ms = 1500", "stop_grace_ms = 1500\n[policy]\nmemory = \"magic\"", "unlimited"),
        ("[timing]", "[policy]\nmemory_bound = 99.0\n[timing]", "policy.memory_bound"),
    ];
    for (from, to, expected) in cases {
        let changed = text.replace(from, to);
        assert_ne!(changed, text);
        let problems = load_toml::<RawEntrySettings, EntrySettings>("entry.toml", &changed);
        let problems = problems.unwrap_err().to_string();
        assert!(problems.contains(expected), "{problems}");
    }
}

#[test]
fn listeners_are_bound_to_the_configured_address() {
    let path = examples().join("quickstart/domain-a-1.toml");
    let text = with_key(&std::fs::read_to_string(path).unwrap());
    let load = |text: &str| load_toml::<RawEntrySettings, EntrySettings>("entry.toml", text);
    let plain = load(&text).unwrap();
    assert_eq!(bind_addr(plain.boxes_addr, plain.listen_ip), plain.boxes_addr);
    let forwarded = load(&format!("listen_ip = \"127.9.9.9\"\n{text}")).unwrap();
    assert_eq!(forwarded.boxes_addr, plain.boxes_addr);
    let bound = bind_addr(forwarded.boxes_addr, forwarded.listen_ip);
    assert_eq!(bound.to_string(), format!("127.9.9.9:{}", plain.boxes_addr.port()));
    let problems = load(&format!("listen_ip = \"here\"\n{text}")).unwrap_err().to_string();
    assert!(problems.contains("listen_ip"), "{problems}");
}

#[test]
fn random_input_does_not_panic_parsers() {
    let good = std::fs::read_to_string(examples().join("texas/fleet.toml")).unwrap();
    let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]).unwrap();
    for seed in 0..64_u64 {
        arbtest::arbtest(|u| {
            let mut bytes = good.as_bytes()[..u.int_in_range(0..=good.len())?].to_vec();
            for _ in 0..u.int_in_range(0..=8)? {
                if !bytes.is_empty() {
                    let at = u.choose_index(bytes.len())?;
                    bytes[at] = u.arbitrary()?;
                }
            }
            let text = String::from_utf8_lossy(&bytes);
            if let Err(problems) = load_fleet("noise", &text) {
                assert!(problems.0.iter().all(|p| p.line >= 1));
            }
            let noise: Vec<u8> = u.arbitrary()?;
            let _ = serde_json::from_slice::<EngineEvent>(&noise);
            let _ = rmp_serde::from_slice::<hatchpitch::grants::GrantRequest>(&noise);
            let _ = rmp_serde::from_slice::<hatchpitch::replication::Envelope>(&noise);
            let _ = rmp_serde::from_slice::<hatchpitch::config::FeedAnswer>(&noise);
            assert!(ResponseToken::open(&keys, &String::from_utf8_lossy(&noise)).is_none());
            Ok(())
        })
        .seed(seed << 32 | 0x4000)
        .run();
    }
}
