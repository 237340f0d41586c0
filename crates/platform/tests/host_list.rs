//! Reading the host list: states, lag, outage.

use std::{net::SocketAddr, time::Duration};

use platform::{Entry, Error, Hosts, Http, Settings, State};
use standin::hosts;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry(port: u16, state: State) -> Entry {
    Entry { address: address(port), state }
}

#[test]
fn states() {
    let server = hosts::Hosts::start().unwrap();
    let http = Http::new(server.address(), Settings::default());
    assert_eq!(http.list(), Ok(Vec::new()));

    server.set(address(1), State::Live);
    server.set(address(2), State::Live);
    server.set(address(1), State::Leaving);
    assert_eq!(http.list(), Ok(vec![entry(1, State::Leaving), entry(2, State::Live)]));

    server.remove(address(2));
    assert_eq!(http.list(), Ok(vec![entry(1, State::Leaving)]));
}

#[test]
fn lag_and_outage() {
    let server = hosts::Hosts::start().unwrap();
    let http = Http::new(server.address(), Settings::default());
    server.set(address(1), State::Live);
    server.update(|it| it.lag = Duration::from_hours(1));
    assert_eq!(http.list(), Ok(Vec::new()));
    server.update(|it| it.lag = Duration::ZERO);
    assert_eq!(http.list(), Ok(vec![entry(1, State::Live)]));
    server.update(|it| it.down = true);
    assert!(matches!(http.list(), Err(Error::Unavailable(_))));
}
