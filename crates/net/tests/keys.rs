//! Key rotation without downtime, and rejection of invalid signatures and keys.

use hatchpitch_net::keys::{from_hex, to_hex};
use hatchpitch_net::{KeyRing, SigningKey};

fn ring(ids: &[&str]) -> KeyRing {
    let key =
        |id: &&str| SigningKey::new((*id).to_owned(), format!("the secret of key {id}").into());
    KeyRing::new(ids.iter().map(|id| key(id).unwrap()).collect()).unwrap()
}

#[test]
fn boxes_verify_each_other_during_a_key_rotation() {
    // Each step is rolled out box by box, so boxes one step apart must accept each other's
    // messages.
    let steps = [ring(&["old"]), ring(&["old", "new"]), ring(&["new", "old"]), ring(&["new"])];
    for pair in steps.windows(2) {
        for (a, b) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let signature = a.sign("p", &[b"message"]);
            assert!(b.verify("p", &[b"message"], &signature));
        }
    }
    assert!(!steps[3].verify("p", &[b"m"], &steps[0].sign("p", &[b"m"])));
}

#[test]
fn signatures_of_other_parts_or_purposes_and_random_text_are_rejected() {
    let keys = ring(&["k"]);
    let signature = keys.sign("p", &[b"ab", b"c"]);
    assert!(keys.verify("p", &[b"ab", b"c"], &signature));
    assert!(!keys.verify("p", &[b"a", b"bc"], &signature));
    assert!(!keys.verify("q", &[b"ab", b"c"], &signature));
    arbtest::arbtest(|u| {
        let random_text: String = u.arbitrary()?;
        assert!(!keys.verify("p", &[b"ab", b"c"], &random_text));
        assert!(!keys.verify("p", &[b"ab", b"c"], &format!("k.{random_text}")));
        let bytes: Vec<u8> = u.arbitrary()?;
        assert_eq!(from_hex(&to_hex(&bytes)), Some(bytes));
        let digits = random_text.len().is_multiple_of(2)
            && random_text.bytes().all(|b| b.is_ascii_hexdigit());
        assert_eq!(from_hex(&random_text).is_some(), digits);
        Ok(())
    })
    .seed(0x5eed_0000_1000)
    .run();
}

#[test]
fn invalid_keys_are_rejected() {
    assert!(SigningKey::new("k".into(), b"short".to_vec()).is_none());
    assert!(SigningKey::new("a.b".into(), vec![1; 32]).is_none());
    assert!(KeyRing::new(Vec::new()).is_none());
    let duplicate = |_| SigningKey::new("k".into(), vec![1; 32]).unwrap();
    assert!(KeyRing::new((0..2).map(duplicate).collect()).is_none());
}

#[test]
fn from_hex_rejects_signs() {
    assert_eq!(from_hex("+f"), None);
    assert_eq!(from_hex("0f"), Some(vec![15]));
}
