//! Selection of entry hosts for a caller.

use std::net::SocketAddr;

use gateway::{
    directory::{Host, choose},
    peer::Capacity,
};

fn host(number: u8, is_same_domain: bool, link_mbps: f32, used_cores: f32) -> Host {
    Host {
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        is_same_domain,
        region: None,
        capacity: Capacity { link_mbps, cpu_cores: 0.5, used_cores },
    }
}

fn check(hosts: &[Host], expected: &[u8]) {
    let selected = choose(hosts.to_vec(), 0);
    let numbers = selected.iter().map(|it| match it {
        SocketAddr::V4(it) => it.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    });
    let mut numbers: Vec<_> = numbers.collect();
    numbers.sort_unstable();
    assert_eq!(numbers, expected, "{hosts:?}");
}

/// Hosts in the caller's domain go first; one of another domain is added if there is only one.
#[test]
fn own_domain() {
    let other = host(9, false, 200.0, 0.0);
    check(&[], &[]);
    check(std::slice::from_ref(&other), &[9]);
    check(&[host(1, true, 200.0, 0.0), host(2, true, 200.0, 0.0), other.clone()], &[1, 2]);
    check(&[host(1, true, 200.0, 0.0), other], &[1, 9]);
}

/// Most hosts have slow links, on which one large body delays every other answer.
#[test]
fn good_links_first() {
    let mut hosts: Vec<_> = (1..=2).map(|it| host(it, true, 200.0, 0.05)).collect();
    hosts.extend((3..=9).map(|it| host(it, true, 10.0, 0.0)));
    check(&hosts, &[1, 2]);
}

/// Load that the hosts with the best links can't serve alone.
#[test]
fn slow_links_under_load() {
    let mut hosts: Vec<_> = (1..=2).map(|it| host(it, true, 200.0, 0.35)).collect();
    hosts.extend((3..=9).map(|it| host(it, true, 10.0, 0.0)));
    check(&hosts, &[1, 2, 3, 4]);
}

/// All hosts have equally good links, so none is preferred.
#[test]
fn equal_hosts_share() {
    let hosts: Vec<_> = (1..=5).map(|it| host(it, true, 100.0, 0.0)).collect();
    check(&hosts, &[1, 2, 3, 4, 5]);
}

/// One of a domain's hosts with good links stops as planned. Its callers go to a good one of
/// another domain rather than all to a slow one in their own.
#[test]
fn good_link_leaves() {
    let slow = (3..=9).map(|it| host(it, true, 10.0, 0.0));
    let other = [host(11, false, 200.0, 0.1), host(12, false, 10.0, 0.0)];
    let mut hosts: Vec<_> = slow.chain(other).collect();
    hosts.push(host(1, true, 200.0, 0.1));
    check(&hosts, &[1, 11]);
    hosts.pop();
    hosts.push(host(13, false, 200.0, 0.1));
    check(&hosts, &[11, 13]);
    hosts[0].capacity.used_cores = 0.01;
    check(&hosts, &[11, 13]);
    hosts[0].capacity.used_cores = 0.5;
    check(&hosts, &[3, 11, 13]);
}

/// All hosts have slow links.
#[test]
fn slow_links_only() {
    let mut hosts: Vec<_> = (1..=3).map(|it| host(it, true, 10.0, 0.0)).collect();
    hosts.push(host(9, false, 10.0, 0.0));
    check(&hosts, &[1, 2, 3]);
}
