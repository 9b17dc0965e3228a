//! Answers kept with claims, between boxes of this and of earlier versions.

use std::time::Duration;

use hatchpitch::claims::{
    ClaimId, ClaimOutcome, ClaimRequest, ClaimTable, ClaimsConfig, KeptAnswer, SettleRequest,
    Settlement,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The answer format of boxes that did not record whether an answer marked its own end.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierAnswer {
    status: u16,
    content_type: String,
    body: Option<Vec<u8>>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierSettlement {
    Done(EarlierAnswer),
    NotRun,
    Unknown,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierSettleRequest {
    id: ClaimId,
    attempt: String,
    settlement: EarlierSettlement,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierOutcome {
    Granted,
    Kept(EarlierAnswer),
    Running,
}

/// Sends a message between two boxes.
fn send<A: Serialize, B: DeserializeOwned>(message: &A) -> B {
    rmp_serde::from_slice(&rmp_serde::to_vec_named(message).unwrap()).unwrap()
}

fn answer(is_delimited: bool) -> KeptAnswer {
    let body = Some(b"the answer".to_vec());
    KeptAnswer { status: 200, content_type: "text/plain".to_owned(), body, is_delimited }
}

fn settlement(is_delimited: bool) -> SettleRequest {
    let id = ClaimId { workspace: "w".to_owned(), key: "k".to_owned() };
    let settlement = Settlement::Done(answer(is_delimited));
    SettleRequest { id, attempt: "a1".to_owned(), settlement }
}

/// Returns what a caller that repeats a call gets after its claim was settled.
fn outcome_after(settled: &SettleRequest) -> ClaimOutcome {
    let claim = |attempt: &str| ClaimRequest {
        id: settled.id.clone(),
        content: [0; 32],
        attempt: attempt.to_owned(),
        run_limit: Duration::from_secs(1),
    };
    let mut table = ClaimTable::new(ClaimsConfig::default());
    assert_eq!(table.claim(&claim("a1"), 0), ClaimOutcome::Granted);
    table.settle(settled, 1);
    // Replicas also get the table as a snapshot.
    let mut table: ClaimTable = send(&table);
    send(&table.claim(&claim("a2"), 2))
}

#[test]
fn a_kept_answer_forgets_that_its_end_was_unmarked() {
    for is_delimited in [false, true] {
        let kept = outcome_after(&send(&settlement(is_delimited)));
        assert_eq!(kept, ClaimOutcome::Kept(answer(is_delimited)));
    }
}

#[test]
fn an_answer_settled_by_an_earlier_entry_box_counts_as_complete() {
    for is_delimited in [false, true] {
        let earlier: EarlierSettleRequest = send(&settlement(is_delimited));
        let kept = outcome_after(&send(&earlier));
        assert_eq!(kept, ClaimOutcome::Kept(answer(false)));
    }
}

#[test]
fn an_answer_kept_by_an_earlier_control_box_counts_as_complete() {
    for is_delimited in [false, true] {
        let kept: EarlierOutcome = send(&ClaimOutcome::Kept(answer(is_delimited)));
        assert!(matches!(&kept, EarlierOutcome::Kept(earlier) if earlier.status == 200));
        assert_eq!(send::<_, ClaimOutcome>(&kept), ClaimOutcome::Kept(answer(false)));
    }
}
