//! Extreme times in claims.

use std::time::Duration;

use hatchpitch::claims::messages::ClaimId;
use hatchpitch::claims::{ClaimOutcome, ClaimRequest, ClaimTable, ClaimsConfig};

/// Guards against a claim in the log that ends every control process at each start.
#[test]
fn a_claim_with_an_extreme_run_limit_is_applied() {
    let mut table = ClaimTable::new(ClaimsConfig::default());
    let claim = |key: &str, run_limit| ClaimRequest {
        id: ClaimId { workspace: "w".to_owned(), key: key.to_owned() },
        content: [0; 32],
        attempt: "a".to_owned(),
        run_limit,
    };
    for (key, limit) in [("1", Duration::MAX), ("2", Duration::from_millis(u64::MAX))] {
        assert_eq!(table.claim(&claim(key, limit), 1_000), ClaimOutcome::Granted);
    }
    // Neither claim has expired.
    let other = ClaimRequest { attempt: "b".to_owned(), ..claim("2", Duration::ZERO) };
    assert_eq!(table.claim(&other, 2_000), ClaimOutcome::Running);
    assert_eq!(table.claim(&claim("3", Duration::MAX), u64::MAX), ClaimOutcome::Granted);
}
