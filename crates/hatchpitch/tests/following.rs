//! Entry boxes go on following control boxes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use hatchpitch::registry::FollowAnswer;
use hatchpitch::registry::follow::{FollowCallbacks, FollowState, run};
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, bind, clock, serve, stop_pair,
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against an entry process that runs on without news of upstreams: a control box was not
/// followed any more once the task that follows it had panicked.
#[test]
fn a_control_box_is_followed_again_after_a_panic() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
        let client = BoxClient::new(KeyRing::new(vec![key]).unwrap()).unwrap();
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let control = listener.local_addr().unwrap();
        let (_handle, stop) = stop_pair();
        let server = client.clone();
        let handler: Handler = Rc::new(move |_, _| {
            let server = server.clone();
            async move { server.respond(&FollowAnswer { config: 1, ..Default::default() }) }
                .boxed_local()
        });
        let serving = serve(listener, ServerLimits::default(), handler, stop.clone());
        compio::runtime::spawn(serving).detach();

        let answers = Rc::new(Cell::new(0));
        let counted = answers.clone();
        let callbacks = FollowCallbacks {
            number: Rc::new(|| 0),
            newer_at: Rc::new(move |_, _| {
                counted.set(counted.get() + 1);
                assert!(counted.get() > 1, "panic requested by the test");
            }),
            evacuations: Rc::new(|| 0),
            evacuated: Rc::new(|_| {}),
            quarantine: Rc::new(|| 0),
            quarantined: Rc::new(|_| {}),
        };
        let followed = FollowState::new(&[control]);
        compio::runtime::spawn(run("e".into(), followed, client, callbacks, stop)).detach();
        let started = clock::now();
        while answers.get() < 3 {
            assert!(clock::since(started) < TIMEOUT, "{} answers", answers.get());
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
