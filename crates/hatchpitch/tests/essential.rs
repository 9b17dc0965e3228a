//! A task that panics is noticed; one that ends is not.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch::essential::spawn_watched;

/// Time for the runtime to come to the watching task.
const MOMENT: Duration = Duration::from_millis(20);

#[test]
fn only_a_panic_is_told() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        for (panics, expected) in [(false, false), (true, true)] {
            let told = Rc::new(Cell::new(false));
            let tell = told.clone();
            let task = async move {
                compio::time::sleep(MOMENT / 10).await;
                assert!(!panics, "as the test wants");
            };
            spawn_watched(task, move || tell.set(true));
            for _ in 0..20 {
                compio::time::sleep(MOMENT).await;
                if told.get() {
                    break;
                }
            }
            assert_eq!(told.get(), expected);
        }
    });
}
