//! Signals that ask a process to read its settings again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch::signals::{hold_hangups, on_hangup};
use hatchpitch_net::stop_pair;

/// Time between looks at what a test waits for.
const LOOK: Duration = Duration::from_millis(5);

fn hang_up() {
    // SAFETY: `raise` has no memory effects.
    unsafe { libc::raise(libc::SIGHUP) };
}

#[test]
fn a_hangup_while_the_settings_are_read_is_heard_and_ends_nothing() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_handle, stop) = stop_pair();
        let reloads = Rc::new(Cell::new(0));
        let counted = reloads.clone();
        let reload = move || {
            counted.set(counted.get() + 1);
            if counted.get() == 1 {
                hang_up();
            }
        };
        on_hangup(reload, stop);
        hold_hangups().await;
        compio::time::sleep(LOOK).await;
        hang_up();
        while reloads.get() < 2 {
            compio::time::sleep(LOOK).await;
        }
    });
}

#[test]
fn a_hangup_that_nobody_listens_for_ends_nothing() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        hold_hangups().await;
        hang_up();
        compio::time::sleep(LOOK).await;
    });
}
