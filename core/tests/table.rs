//! Routes and ranks of the routing table.

use almondwell_core::table::{Absence, Retry, Route, Table, Workspace};
use std::time::Duration;

fn route(name: &str, prefix: &str, priority: u8) -> Route {
    Route {
        attempts: 1,
        backends: vec![("pool".into(), 1)],
        gap: None,
        host: "a.example".into(),
        is_public: false,
        is_stream: true,
        name: name.into(),
        prefix: prefix.into(),
        priority,
        retry: Retry::Never,
        target: Duration::from_secs(1),
        timeout: Duration::from_secs(5),
    }
}

fn workspace(name: &str, priority: Option<u8>) -> Workspace {
    Workspace {
        name: name.into(),
        priority,
    }
}

fn table() -> Table {
    let mut table = Table::new(1);
    table.add(route("reply", "/", 0));
    table.add(route("review", "/review/", 2));
    table.add_workspace(workspace("first", Some(0)), ["k0".into()]);
    table.add_workspace(workspace("second", Some(1)), ["k1".into()]);
    table.add_workspace(workspace("unranked", None), ["k2".into()]);
    table
}

fn rank(table: &Table, key: Option<&str>, path: &str) -> u8 {
    let workspace = key.and_then(|key| table.keys().get(key));
    let route = table
        .route("a.example", path)
        .expect("the table should have a matching route");
    table.rank(workspace.map(|workspace| &**workspace), route)
}

macro_rules! cases {
    ($($name:ident: ($key:expr, $path:literal) $order:tt ($other_key:expr, $other_path:literal);)*) => {
        $(#[test]
        fn $name() {
            let table = table();
            let rank = |key, path| rank(&table, key, path);
            assert!(rank($key, $path) $order rank($other_key, $other_path));
        })*
    };
}

cases! {
    the_route_decides_between_equal_workspaces: (Some("k1"), "/x") < (Some("k1"), "/review/x");
    the_workspace_rank_precedes_the_route_rank: (Some("k0"), "/review/x") < (Some("k1"), "/x");
    a_workspace_without_a_rank_is_least_urgent: (Some("k2"), "/x") == (Some("k1"), "/x");
    a_caller_without_a_workspace_is_least_urgent: (None, "/review/x") == (Some("k1"), "/review/x");
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let name = |path| table.route("a.example", path).map(|route| &*route.name);
    assert_eq!(name("/review/1"), Some("review"));
    assert_eq!(name("/reviews"), Some("reply"));
    assert_eq!(table.len(), 2);
}

/// Guards against a route that sends nothing since its only service has the weight 0, relative to nothing.
#[test]
fn the_weight_of_a_single_service_does_not_matter() {
    for weight in [0, 1, u32::MAX] {
        let route = Route {
            backends: vec![("pool".into(), weight)],
            ..route("reply", "/", 0)
        };
        assert_eq!(route.service(u64::MAX), Some("pool"), "weight {weight}");
        assert!(route.leads_to("pool"), "weight {weight}");
    }
}

#[test]
fn services_without_weight_get_nothing() {
    let both = |weight| Route {
        backends: vec![("pool".into(), 0), ("next".into(), weight)],
        ..route("reply", "/", 0)
    };
    assert_eq!(both(3).service(0), Some("next"));
    assert_eq!(both(0).service(0), None);
}

/// Guards against a shorter prefix that answers for a route that could not be read.
#[test]
fn a_place_without_a_route_counts_by_its_prefix() {
    let mut table = table();
    table.add_unreadable("a.example".into(), "/review/old/".into());
    table.add_unreadable("b.example".into(), "/".into());
    let find = |host, path| table.find(host, path).map(|route| &*route.name);
    assert_eq!(find("a.example", "/review/old/1"), Err(Absence::Unreadable));
    assert_eq!(find("a.example", "/review/1"), Ok("review"));
    assert_eq!(find("b.example", "/1"), Err(Absence::Unreadable));
    assert_eq!(find("c.example", "/1"), Err(Absence::Unknown));
    assert_eq!(table.len(), 2);
}

/// Guards against a table that admits everyone once its last key is revoked.
#[test]
fn a_workspace_without_keys_requires_a_key() {
    let mut table = Table::new(1);
    table.add(route("reply", "/", 0));
    table.add(Route {
        is_public: true,
        ..route("news", "/news/", 0)
    });
    let is_admitted = |table: &Table, path: &str, key: Option<&str>| {
        let route = table.route("a.example", path);
        let credential = table.credential(key);
        table.is_admitted(route.expect("a matching route"), &credential)
    };
    assert!(is_admitted(&table, "/x", None));
    table.add_workspace(workspace("first", Some(0)), []);
    assert!(table.keys().is_empty());
    assert!(!is_admitted(&table, "/x", None));
    assert!(is_admitted(&table, "/news/1", None));
    table.add_workspace(workspace("second", Some(1)), ["k1".into()]);
    assert!(is_admitted(&table, "/x", Some("k1")));
}

/// Guards against a public route that admits a key which no workspace has any more.
#[test]
fn a_public_route_requires_a_given_key_to_be_known() {
    let mut table = Table::new(1);
    table.add(Route {
        is_public: true,
        ..route("news", "/news/", 0)
    });
    let is_admitted = |table: &Table, key: Option<&str>| {
        let route = table.route("a.example", "/news/1");
        let credential = table.credential(key);
        table.is_admitted(route.expect("a matching route"), &credential)
    };
    // Without workspaces keys mean nothing.
    assert!(is_admitted(&table, Some("k1")));
    table.add_workspace(workspace("first", Some(0)), ["k0".into()]);
    assert!(is_admitted(&table, None));
    assert!(is_admitted(&table, Some("k0")));
    assert!(!is_admitted(&table, Some("k1")));
}
