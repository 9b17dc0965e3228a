//! Tests of the identification of callers by the `Authorization` field.

use hatchpitch::security::{Credentials, credentials};
use http::{HeaderMap, HeaderValue, header};

fn headers(fields: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        headers.append(header::AUTHORIZATION, HeaderValue::from_bytes(field).unwrap());
    }
    headers
}

#[test]
fn only_a_request_without_the_field_has_no_credentials() {
    assert_eq!(credentials(&headers(&[]), "Token"), Credentials::Absent);
    let malformed: &[&[&[u8]]] = &[
        &[b""],
        &[b" "],
        &[b"Token"],
        &[b"Token "],
        &[b"Token\tkey"],
        &[b"Tokenkey"],
        &[b"key"],
        &[b"Bearer key"],
        &[b"Token k\xff"],
        &[b"Token key", b"Token key"],
        &[b"Token key", b""],
    ];
    for fields in malformed {
        assert_eq!(credentials(&headers(fields), "Token"), Credentials::Malformed, "{fields:?}");
    }
}

#[test]
fn a_key_is_read_regardless_of_the_case_of_its_scheme_and_of_blanks_around_it() {
    let cases: &[(&[u8], &str)] = &[
        (b"Token key", "key"),
        (b"tOKEN key", "key"),
        (b" Token  key \t", "key"),
        (b"Token two words", "two words"),
        (b"Token Key", "Key"),
        ("Token cl\u{e9}".as_bytes(), "cl\u{e9}"),
    ];
    for (field, key) in cases {
        assert_eq!(credentials(&headers(&[field]), "Token"), Credentials::Key(key), "{field:?}");
    }
}
