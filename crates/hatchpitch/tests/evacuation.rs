//! Tests of evacuations: the set of domains, the replicated state, and its distribution to boxes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::poll;
use hatchpitch::claims::{ClaimTable, ClaimsConfig};
use hatchpitch::config::feed::{self, ConfigCell, InForce};
use hatchpitch::config::{ConfigState, Pool, Runner};
use hatchpitch::config::{Entity, FailureDomain, FeedRequest, Fleet, FleetView};
use hatchpitch::control::machine::{Command, Machine, Order};
use hatchpitch::evacuation::verify::{verify, verify_step};
use hatchpitch::evacuation::{EvacuationOrder, Evacuations};
use hatchpitch::registry::{Detail, FollowRequest, RegistryCell};
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, bind, rmp_response, serve, stop_pair,
};

/// Hold time of a request, far longer than a test takes, so no answer is caused by its end.
const HOLD: Duration = Duration::from_secs(5);

fn begin(domain: &str) -> EvacuationOrder {
    EvacuationOrder::Begin(domain.to_owned())
}

fn end(domain: &str) -> EvacuationOrder {
    EvacuationOrder::End(domain.to_owned())
}

fn evacuated(orders: impl IntoIterator<Item = EvacuationOrder>) -> Evacuations {
    let mut set = Evacuations::default();
    for order in orders {
        set.apply(order);
        verify(&set).unwrap();
    }
    set
}

#[test]
fn order_already_in_effect_changes_nothing() {
    let mut set = Evacuations::default();
    assert!(!set.apply(end("a")), "no evacuation has begun");
    assert!(set.apply(begin("a")));
    assert!(!set.apply(begin("a")));
    assert_eq!((set.revision(), set.is_evacuated("a")), (1, true));
    assert!(set.apply(end("a")));
    assert!(!set.apply(end("a")));
    assert_eq!((set.revision(), set.is_evacuated("a")), (2, false));
}

#[test]
fn evacuations_overlap_and_end_in_any_order() {
    let set = evacuated([begin("a"), begin("b"), begin("c"), end("b")]);
    assert_eq!(set.domains().collect::<Vec<_>>(), ["a", "c"]);
    assert_eq!(set.ended_since(3).collect::<Vec<_>>(), ["b"]);
    assert_eq!(set.ended_since(4).count(), 0);
    let again = evacuated([begin("a"), end("a"), begin("a")]);
    assert!(again.is_evacuated("a"));
    assert_eq!(again.ended_since(0).count(), 0, "an evacuated domain is not listed as ended");
}

#[test]
fn random_orders_keep_the_invariants() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let mut set = Evacuations::default();
            for _ in 0..40 {
                let domain = format!("d{}", u.int_in_range(0..=4_u8)?);
                let order = if u.arbitrary()? { begin(&domain) } else { end(&domain) };
                let before = set.clone();
                let changed = set.apply(order.clone());
                verify_step(&before, &set).unwrap();
                assert_eq!(changed, set.revision() > before.revision());
                assert!(set.is_in_effect(&order));
            }
            Ok(())
        })
        .seed(seed << 32 | 1_000)
        .run();
    }
}

#[test]
fn log_applies_evacuations_and_snapshots_preserve_them() {
    let mut machine = Machine::new();
    machine.apply(Command { at: 1, order: Order::Evacuate(begin("a")) });
    machine.apply(Command { at: 2, order: Order::Evacuate(begin("a")) });
    assert_eq!(machine.evacuations.revision(), 1);
    let bytes = rmp_serde::to_vec_named(&machine).unwrap();
    assert_eq!(rmp_serde::from_slice::<Machine>(&bytes).unwrap(), machine);
}

/// State of a control box as encoded before evacuations were introduced.
#[derive(serde::Serialize)]
struct MachineWithoutEvacuations {
    config: ConfigState,
    claims: ClaimTable,
    document: Option<()>,
    now: u64,
}

#[test]
fn snapshot_without_evacuations_decodes() {
    let claims = ClaimTable::new(ClaimsConfig::default());
    let before = MachineWithoutEvacuations {
        config: ConfigState::default(),
        claims,
        document: None,
        now: 0,
    };
    let bytes = rmp_serde::to_vec_named(&before).unwrap();
    assert_eq!(rmp_serde::from_slice::<Machine>(&bytes).unwrap(), Machine::new());
}

fn runner(name: &str, domain: &str) -> Entity {
    Entity::Runner(Runner {
        name: name.to_owned(),
        pool: "p".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain.to_owned(),
        max_batch: 4,
        checks_fence: false,
    })
}

#[test]
fn fleet_view_omits_runners_of_evacuated_domains() {
    let domain = |name: &str| {
        Entity::FailureDomain(FailureDomain { name: name.to_owned(), region: "r".to_owned() })
    };
    let pool = Entity::Pool(Pool {
        name: "p".to_owned(),
        model: "m".to_owned(),
        version: "1".to_owned(),
        max_tokens: 10,
        silence_limit: HOLD,
        max_waiting: 4,
    });
    let entities = [domain("a"), domain("b"), pool, runner("one", "a"), runner("two", "b")];
    let mut state = ConfigState::default();
    let change = state.prepare(&Fleet::new(1, entities), "t").unwrap();
    state.apply(change).unwrap();
    let view = FleetView::new(&state).without_evacuated(&evacuated([begin("a")]));
    let remaining: Vec<&str> =
        view.pools[0].runners.iter().map(|runner| runner.name.as_str()).collect();
    assert_eq!(remaining, ["two"]);
}

fn request(evacuations: u64) -> FeedRequest {
    FeedRequest {
        from: "box".to_owned(),
        have: 0,
        hold: HOLD,
        unconfirmed: false,
        after: None,
        evacuations,
        quarantine: 0,
        unpacks: true,
    }
}

#[test]
fn waiting_feed_request_is_answered_on_evacuation() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let cell = ConfigCell::default();
        let req = request(0);
        let mut waiting = Box::pin(cell.answer(&req));
        assert!(poll!(&mut waiting).is_pending());
        assert!(cell.set_evacuations(&evacuated([begin("a")])));
        let answer = waiting.await;
        assert!(answer.evacuations.unwrap().is_evacuated("a"));
        // An older set has no effect, and a request that has the current revision keeps waiting.
        assert!(!cell.set_evacuations(&Evacuations::default()));
        let req = request(1);
        let mut waiting = Box::pin(cell.answer(&req));
        assert!(poll!(&mut waiting).is_pending());
    });
}

fn in_force(evacuations: &Rc<Evacuations>) -> InForce {
    InForce { evacuations: evacuations.clone(), ..InForce::default() }
}

#[test]
fn follow_request_is_answered_on_evacuation() {
    let cell = RegistryCell::new(1);
    let (before, now) = (Rc::new(Evacuations::default()), Rc::new(evacuated([begin("a")])));
    let mut req = FollowRequest {
        from: "b".to_owned(),
        epoch: 1,
        have: 0,
        config: 0,
        hold: HOLD,
        detail: Detail::Departures,
        evacuations: 0,
        quarantine: 0,
    };
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let mut waiting = Box::pin(cell.answer(&req, || in_force(&before), || true));
        assert!(poll!(&mut waiting).is_pending(), "there are no changes to report");
        let answer = cell.answer(&req, || in_force(&now), || true).now_or_never();
        assert_eq!(answer.flatten().unwrap().evacuations.as_ref(), Some(&*now));
    });
    req.evacuations = 1;
    req.hold = Duration::ZERO;
    runtime.block_on(async {
        let answer = cell.answer(&req, || in_force(&now), || true).await.unwrap();
        assert_eq!(answer.evacuations, None);
    });
}

/// Serves the feed of `parent` on loopback and fetches it once for `child`; returns whether the
/// configuration of `child` was confirmed.
async fn fetch_once(parent: Rc<ConfigCell>, child: &ConfigCell) -> bool {
    let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]).unwrap();
    let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (_stop_handle, stop) = stop_pair();
    let handler: Handler = Rc::new(move |_, _| {
        let parent = parent.clone();
        async move {
            rmp_response(&parent.answer(&FeedRequest { hold: Duration::ZERO, ..request(0) }).await)
        }
        .boxed_local()
    });
    compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
    let client = BoxClient::new(keys).unwrap();
    feed::fetch(&"child".to_owned(), child, &client, addr, Duration::ZERO).await
}

/// A parent whose set of evacuations is older than that of its child must not confirm the child's
/// configuration.
#[test]
fn parent_that_missed_an_evacuation_does_not_confirm() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        for (missed, confirmed) in [(true, false), (false, true)] {
            let (parent, child) = (Rc::new(ConfigCell::default()), ConfigCell::default());
            let newest = evacuated([begin("a"), begin("b")]);
            child.set_evacuations(&newest);
            parent.set_evacuations(&if missed { evacuated([begin("a")]) } else { newest });
            parent.confirm(Instant::now());
            assert_eq!(fetch_once(parent, &child).await, confirmed);
            assert!(child.evacuations().is_evacuated("b"));
        }
    });
}
