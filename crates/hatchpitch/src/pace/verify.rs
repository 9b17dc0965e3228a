//! Checks the invariants of a [`PoolPace`].

use super::state::PoolPace;

/// Checks the invariants of the pace of a pool whose engines are those for which `exists` returns
/// true.
///
/// # Errors
///
/// Returns a description of the first violated invariant.
pub fn verify(pace: &PoolPace, exists: impl Fn(&str) -> bool) -> Result<(), String> {
    for (name, engine) in &pace.engines {
        if !exists(name) {
            return Err(format!("the pace of engine {name} is kept although it is gone"));
        }
        if !engine.gaps.count().is_finite() {
            return Err(format!("the gaps of engine {name} have no finite weight"));
        }
    }
    if let Some(name) = pace.prefill.keys().find(|name| !exists(name)) {
        return Err(format!("the prefill rate of engine {name} is kept although it is gone"));
    }
    if pace.gone.iter().any(|gone| !gone.mean.is_finite() || gone.mean <= 0.0) {
        return Err("an engine that is gone has no positive mean gap".to_owned());
    }
    Ok(())
}
