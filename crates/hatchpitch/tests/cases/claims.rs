//! Runs a case file on a [`ClaimTable`], and verifies the table after each input.

use std::time::Duration;

use hatchpitch::claims::verify::verify;
use hatchpitch::claims::{
    ClaimId, ClaimOutcome, ClaimRequest, ClaimTable, ClaimsConfig, KeptAnswer, SettleRequest,
    Settlement,
};

use super::file::{Case, words};

/// Runs a case and returns the output of each input.
pub fn run(case: &Case) -> Vec<Vec<String>> {
    let keep = Duration::from_millis(1_000);
    let cfg = ClaimsConfig { per_workspace: 3, max_answer: 8, keep };
    let mut table = ClaimTable::new(cfg);
    let mut outputs = Vec::new();
    for exchange in &case.exchanges {
        let words = words(&exchange.input);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        outputs.push(apply(&mut table, &words));
        verify(&table).unwrap_or_else(|err| panic!("{}: {err}", case.name));
    }
    outputs
}

/// Applies one input: `claim AT KEY CONTENT ATTEMPT`,
/// `settle AT KEY ATTEMPT done ANSWER|not-run|unknown`, or `held` for the number of claims.
fn apply(table: &mut ClaimTable, words: &[&str]) -> Vec<String> {
    match *words {
        ["claim", at, key, content, attempt] => {
            let req = ClaimRequest {
                id: id(key),
                content: [content.as_bytes()[0]; 32],
                attempt: attempt.to_owned(),
                run_limit: Duration::from_millis(500),
            };
            vec![show(&table.claim(&req, at.parse().unwrap()))]
        }
        ["settle", at, key, attempt, ref result @ ..] => {
            let settlement = match *result {
                ["done", answer] => Settlement::Done(kept_answer(answer)),
                ["not-run"] => Settlement::NotRun,
                ["unknown"] => Settlement::Unknown,
                _ => panic!("unknown settlement {result:?}"),
            };
            let req = SettleRequest { id: id(key), attempt: attempt.to_owned(), settlement };
            table.settle(&req, at.parse().unwrap());
            Vec::new()
        }
        ["held"] => vec![table.len().to_string()],
        _ => panic!("unknown input {words:?}"),
    }
}

fn id(key: &str) -> ClaimId {
    ClaimId { workspace: "w".to_owned(), key: key.to_owned() }
}

fn kept_answer(answer: &str) -> KeptAnswer {
    let body = Some(answer.as_bytes().to_vec());
    KeptAnswer { status: 200, content_type: "text/plain".to_owned(), body, is_delimited: true }
}

fn show(outcome: &ClaimOutcome) -> String {
    match outcome {
        ClaimOutcome::Granted => "granted".to_owned(),
        ClaimOutcome::Kept(KeptAnswer { body: Some(body), .. }) => {
            format!("kept {}", String::from_utf8_lossy(body))
        }
        ClaimOutcome::Kept(_) => "kept without its body".to_owned(),
        ClaimOutcome::Running => "running".to_owned(),
        ClaimOutcome::Unknown => "unknown".to_owned(),
        ClaimOutcome::KeyReused => "key reused".to_owned(),
        ClaimOutcome::TooMany => "too many".to_owned(),
    }
}
