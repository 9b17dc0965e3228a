//! `spawn_watched` reports a task that panics, but not one that returns.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch::essential::spawn_watched;

/// Polling interval; also gives the runtime time to run the watching task.
const INTERVAL: Duration = Duration::from_millis(20);

#[test]
fn only_a_panic_is_reported() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        for (panics, expected) in [(false, false), (true, true)] {
            let reported = Rc::new(Cell::new(false));
            let on_panic = reported.clone();
            let task = async move {
                compio::time::sleep(INTERVAL / 10).await;
                assert!(!panics, "panic requested by the test");
            };
            spawn_watched(task, move || on_panic.set(true));
            for _ in 0..20 {
                compio::time::sleep(INTERVAL).await;
                if reported.get() {
                    break;
                }
            }
            assert_eq!(reported.get(), expected);
        }
    });
}
