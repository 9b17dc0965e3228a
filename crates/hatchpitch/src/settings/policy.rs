//! The `[policy]` table: selects scheduling policies and disables individual mechanisms.

use serde::Deserialize;
use toml::Spanned;

use super::diagnostic::{Checker, Finding};
use crate::admission::policy::DEFAULT_DEVIATIONS;
use crate::admission::{MemoryPolicy, Order, Pick, Placement, Policy};

/// The table before validation.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPolicy {
    placement: Option<Spanned<String>>,
    order: Option<Spanned<String>>,
    pick: Option<Spanned<String>>,
    memory: Option<Spanned<String>>,
    memory_bound: Option<Spanned<f64>>,
    moves: Option<bool>,
    second_tries: Option<bool>,
    early_refusal: Option<bool>,
    near: Option<bool>,
    quotes: Option<bool>,
    ejection: Option<bool>,
    requeue_checks: Option<bool>,
}

impl TryFrom<RawPolicy> for Policy {
    type Error = Vec<Finding>;

    fn try_from(raw: RawPolicy) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let policy = check(&mut checker, &raw);
        checker.finish(policy)
    }
}

/// Looks up a keyword; if it is unknown, records the valid keywords and returns `default`.
fn keyword<T: Copy>(
    check: &mut Checker,
    key: &str,
    raw: &Option<Spanned<String>>,
    choices: &[(&str, T)],
    default: T,
) -> T {
    let Some(raw) = raw else { return default };
    if let Some((_, value)) = choices.iter().find(|(keyword, _)| keyword == raw.get_ref()) {
        return *value;
    }
    let keywords: Vec<&str> = choices.iter().map(|(keyword, _)| *keyword).collect();
    check.report(raw.span(), key, format!("{:?}", raw.get_ref()), &keywords.join(", "));
    default
}

/// Validates the table; keys that are not set keep their defaults.
pub(super) fn check(check: &mut Checker, raw: &RawPolicy) -> Policy {
    let default = Policy::default();
    let placements = [("owner", Placement::Owner), ("local", Placement::Local)];
    let orders = [("fair", Order::Fair), ("arrival", Order::Arrival)];
    let picks = [
        ("least-loaded", Pick::LeastLoaded),
        ("objective", Pick::Objective),
        ("round-robin", Pick::RoundRobin),
    ];
    Policy {
        placement: keyword(
            check,
            "policy.placement",
            &raw.placement,
            &placements,
            default.placement,
        ),
        order: keyword(check, "policy.order", &raw.order, &orders, default.order),
        pick: keyword(check, "policy.pick", &raw.pick, &picks, default.pick),
        memory: memory_policy(check, raw),
        moves: raw.moves.unwrap_or(default.moves),
        second_tries: raw.second_tries.unwrap_or(default.second_tries),
        early_refusal: raw.early_refusal.unwrap_or(default.early_refusal),
        near: raw.near.unwrap_or(default.near),
        quotes: raw.quotes.unwrap_or(default.quotes),
        ejection: raw.ejection.unwrap_or(default.ejection),
        requeue_checks: raw.requeue_checks.unwrap_or(default.requeue_checks),
    }
}

/// Validates `memory` and its parameter `memory_bound`.
fn memory_policy(check: &mut Checker, raw: &RawPolicy) -> MemoryPolicy {
    type Constructor = fn(f64) -> MemoryPolicy;
    // Each policy's constructor, with the default and the maximum of `memory_bound`.
    let policies: [(&str, (Constructor, f64, f64)); 4] = [
        ("unlimited", (|_| MemoryPolicy::Unlimited, 0.0, 0.0)),
        ("watermark", (MemoryPolicy::Watermark, 0.8, 1.0)),
        ("quantile", (MemoryPolicy::Quantile, 0.8, 0.999)),
        ("survival", (MemoryPolicy::Survival, DEFAULT_DEVIATIONS, 6.0)),
    ];
    let (construct, default, max) =
        keyword(check, "policy.memory", &raw.memory, &policies, policies[3].1);
    let Some(given) = &raw.memory_bound else { return construct(default) };
    if !(0.0..=max).contains(given.get_ref()) {
        let expected = format!("0 to {max} for this policy");
        check.report(given.span(), "policy.memory_bound", given.get_ref(), &expected);
    }
    construct(*given.get_ref())
}
