//! Extreme times in answers of the feed.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use hatchpitch::config::feed::{ConfigCell, fetch};
use hatchpitch::config::{Delta, FeedAnswer, Rest};
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, bind, serve, stop_pair,
};

/// Guards against a process that ends because another box says when its configuration was confirmed.
#[test]
fn extreme_ages_in_the_feed_are_processed() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
        let client = BoxClient::new(KeyRing::new(vec![key]).unwrap()).unwrap();
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let parent = listener.local_addr().unwrap();
        let (_handle, stop) = stop_pair();
        let server = client.clone();
        let handler: Handler = Rc::new(move |_, _| {
            let server = server.clone();
            async move {
                server.respond(&FeedAnswer {
                    number: 0,
                    digest: [0; 32],
                    snapshot: false,
                    delta: Delta::default(),
                    packed: None,
                    rest: Rest::default(),
                    confirmed_age: Some(Duration::MAX),
                    held: Duration::ZERO,
                    evacuated_at: 0,
                    evacuations: None,
                    quarantine: None,
                })
            }
            .boxed_local()
        });
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let cell = ConfigCell::default();
        let confirmed = fetch(&"b".to_owned(), &cell, &client, parent, Duration::ZERO).await;
        assert!(!confirmed && cell.confirmed_age().is_none_or(|age| age > Duration::from_secs(60)));
    });
}
