//! Routing by host and path, and the split of requests over services.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::sync::atomic::AtomicU32;

use rstest::rstest;

use crate::direct_support::config;
use crate::direct_support::route;
use crate::direct_support::service;
use jackdawpin_core::direct::config::Route;
use jackdawpin_core::direct::config::WeightedService;

fn named_route(name: &str, prefix: &str) -> Route {
    Route { name: name.into(), prefix: prefix.into(), ..route(true) }
}

/// Guards against a shorter prefix that hides a longer one, a prefix that matches a part of a path
/// segment, and hosts that are distinguished by case or port.
#[rstest]
#[case("a.example", "/a/b/c", Some("long"))]
#[case("A.Example:8080", "/a/x", Some("short"))]
#[case("a.example", "/ab/", None)]
#[case("a.example", "/a", None)]
#[case("b.example", "/a/x", None)]
#[case("", "/a/x", None)]
fn longest_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let config = config(1, vec![named_route("long", "/a/b/"), named_route("short", "/a/")]);
    assert_eq!(config.route(host, path).map(|route| &*route.name), expected);
}

/// Guards against a host that a caller may name in more than one way, of which only one is found.
#[rstest]
#[case("a.example", "a.example.", Some("short"))]
#[case("a.example", "A.example.:8080", Some("short"))]
#[case("a.example.", "a.example", Some("short"))]
#[case("[2001:db8::1]", "[2001:DB8::1]", Some("short"))]
#[case("[2001:db8::1]", "[2001:db8::1]:8080", Some("short"))]
#[case("a.example", "a.example..", None)]
fn host_names(#[case] listed: &str, #[case] named: &str, #[case] expected: Option<&str>) {
    let mut config = config(1, vec![named_route("short", "/a/")]);
    config.hosts.iter_mut().for_each(|host| host.name = listed.into());
    assert_eq!(config.route(named, "/a/x").map(|route| &*route.name), expected);
}

/// Guards against a host that is listed more than once, and of whose routes only some are found.
#[rstest]
#[case("/a/x", Some("short"))]
#[case("/a/b/x", Some("long"))]
#[case("/b/x", None)]
fn host_listed_twice(#[case] path: &str, #[case] expected: Option<&str>) {
    let mut whole = config(1, vec![named_route("short", "/a/")]);
    whole.hosts.extend(config(1, vec![named_route("long", "/a/b/")]).hosts);
    assert_eq!(whole.route("a.example", path).map(|route| &*route.name), expected);
}

/// Guards against a split that is exact only over thousands of requests, or that favours a service
/// because of its first position.
#[rstest]
#[case(90, 10)]
#[case(1, 1)]
#[case(1, 3)]
#[case(0, 5)]
fn split_in_proportion(#[case] first: u32, #[case] second: u32) {
    for start in [0, 1 << 30, 3 << 30, u32::MAX] {
        let parts = smallvec::smallvec![
            WeightedService { service: service("x"), weight: first },
            WeightedService { service: service("y"), weight: second },
        ];
        let route = Route { services: parts, split_position: AtomicU32::new(start), ..route(true) };
        let total = 100;
        let hits = (0..total).filter(|_| route.next_service().unwrap().as_str() == "x").count();
        let expected = f64::from(first) / f64::from(first + second) * total as f64;
        assert!((hits as f64 - expected).abs() <= 2.0, "{hits} of {total} from {start}");
    }
}
