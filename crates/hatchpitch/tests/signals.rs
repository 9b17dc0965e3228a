//! Tests for the reload of settings on SIGHUP.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch::signals::{on_sighup, prevent_sighup_termination};
use hatchpitch_net::stop_pair;

/// Polling interval.
const INTERVAL: Duration = Duration::from_millis(5);

fn raise_sighup() {
    // SAFETY: `raise` has no memory effects.
    unsafe { libc::raise(libc::SIGHUP) };
}

#[test]
fn sighup_during_a_reload_triggers_another_reload() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_handle, stop) = stop_pair();
        let reloads = Rc::new(Cell::new(0));
        let counter = reloads.clone();
        let reload = move || {
            counter.set(counter.get() + 1);
            if counter.get() == 1 {
                raise_sighup();
            }
        };
        on_sighup(reload, stop);
        prevent_sighup_termination().await;
        compio::time::sleep(INTERVAL).await;
        raise_sighup();
        while reloads.get() < 2 {
            compio::time::sleep(INTERVAL).await;
        }
    });
}

#[test]
fn sighup_without_a_listener_does_not_terminate_the_process() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        prevent_sighup_termination().await;
        raise_sighup();
        compio::time::sleep(INTERVAL).await;
    });
}
