//! The table `[policy]`: which decisions are taken how, and which mechanisms are switched off.

use serde::Deserialize;
use toml::Spanned;

use super::diagnostic::{Checker, Finding};
use crate::admission::policy::DEFAULT_DEVIATIONS;
use crate::admission::{MemoryPolicy, Order, Pick, Placement, Policy};

/// The table before it is checked.
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
}

impl TryFrom<RawPolicy> for Policy {
    type Error = Vec<Finding>;

    fn try_from(raw: RawPolicy) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let policy = check(&mut checker, &raw);
        checker.finish(policy)
    }
}

/// Finds the value that a word stands for, or notes the words that would be right.
fn choice<T: Copy>(
    check: &mut Checker,
    key: &str,
    raw: &Option<Spanned<String>>,
    choices: &[(&str, T)],
    default: T,
) -> T {
    let Some(raw) = raw else { return default };
    if let Some((_, value)) = choices.iter().find(|(word, _)| word == raw.get_ref()) {
        return *value;
    }
    let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
    check.note(raw.span(), key, format!("{:?}", raw.get_ref()), &words.join(", "));
    default
}

/// Checks the table; what it does not name stays at its default.
pub(super) fn check(check: &mut Checker, raw: &RawPolicy) -> Policy {
    let default = Policy::default();
    let placements = [("owner", Placement::Owner), ("local", Placement::Local)];
    let orders = [("fair", Order::Fair), ("arrival", Order::Arrival)];
    let picks = [("least-loaded", Pick::LeastLoaded), ("round-robin", Pick::RoundRobin)];
    Policy {
        placement: choice(
            check,
            "policy.placement",
            &raw.placement,
            &placements,
            default.placement,
        ),
        order: choice(check, "policy.order", &raw.order, &orders, default.order),
        pick: choice(check, "policy.pick", &raw.pick, &picks, default.pick),
        memory: memory_policy(check, raw),
        moves: raw.moves.unwrap_or(default.moves),
        second_tries: raw.second_tries.unwrap_or(default.second_tries),
        early_refusal: raw.early_refusal.unwrap_or(default.early_refusal),
        near: raw.near.unwrap_or(default.near),
        quotes: raw.quotes.unwrap_or(default.quotes),
        ejection: raw.ejection.unwrap_or(default.ejection),
    }
}

fn memory_policy(check: &mut Checker, raw: &RawPolicy) -> MemoryPolicy {
    type Make = fn(f64) -> MemoryPolicy;
    let makes: [(&str, (Make, f64, f64)); 4] = [
        ("unlimited", (|_| MemoryPolicy::Unlimited, 0.0, 0.0)),
        ("watermark", (MemoryPolicy::Watermark, 0.8, 1.0)),
        ("quantile", (MemoryPolicy::Quantile, 0.8, 0.999)),
        ("survival", (MemoryPolicy::Survival, DEFAULT_DEVIATIONS, 6.0)),
    ];
    let (make, bound, max) = choice(check, "policy.memory", &raw.memory, &makes, makes[3].1);
    let Some(given) = &raw.memory_bound else { return make(bound) };
    if !(0.0..=max).contains(given.get_ref()) {
        let expected = format!("0 to {max} for this policy");
        check.note(given.span(), "policy.memory_bound", given.get_ref(), &expected);
    }
    make(*given.get_ref())
}
