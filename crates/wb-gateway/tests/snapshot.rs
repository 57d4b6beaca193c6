//! Routes that instances of different builds read from each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wb_gateway::peers::snapshot::RoutesMessage;
use wb_gateway::peers::snapshot::Snapshot;
use wb_members::listing::ListVersion;
use wb_members::listing::RowChange;
use wb_members::steering::Card;
use wb_route::Limits;
use wb_route::RouteTable;
use wb_team::KeyDigest;
use wb_team::Team;

/// Content of a snapshot of the builds before teams.
type OldSnapshot = (
    Option<RouteTable>,
    Option<ListVersion>,
    Vec<RowChange>,
    Vec<Card>,
);

fn address() -> SocketAddr {
    "127.0.0.1:80".parse().expect("an address")
}

fn card() -> Card {
    Card {
        name: "front-1".into(),
        incarnation: 1,
        domain: "a".into(),
        callers: address(),
        peers: address(),
        cores: 0.5,
    }
}

/// Routes without teams.
fn open_routes() -> RouteTable {
    let limits = Limits {
        head_bytes: 16384,
        body_bytes: 1 << 26,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(7, Vec::new(), BTreeMap::new(), limits)
}

/// Routes with a team.
fn routes() -> RouteTable {
    let mut routes = open_routes();
    let teams = &mut routes.teams;
    teams.require_keys();
    teams.add(&"sadlers".into(), Team::default(), &[KeyDigest::of(b"key")]);
    teams.add_public_route("public".into());
    routes
}

fn message(routes: &RouteTable) -> RoutesMessage {
    RoutesMessage {
        routes: Some(routes.clone()),
        teams: Some(routes.teams.clone()),
    }
}

fn snapshot(routes: &RouteTable) -> Snapshot {
    Snapshot {
        routes: Some(routes.clone()),
        read_version: Some(3),
        rows: Vec::new(),
        cards: vec![card()],
        teams: Some(routes.teams.clone()),
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("messages are plain data")
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("the message can be decoded")
}

macro_rules! teams_arrive {
    ($($name:ident: $routes:expr;)+) => {$(
        #[test]
        fn $name() {
            let sent: RoutesMessage = decode(&encode(&message(&$routes)));
            assert_eq!(sent.into_routes(address()), Some($routes));
            let mut sent: Snapshot = decode(&encode(&snapshot(&$routes)));
            assert_eq!(sent.take_routes(address()), Some($routes));
            assert_eq!(sent.cards, [card()]);
        }
    )+};
}

teams_arrive! {
    teams_arrive_with_the_routes: routes();
    routes_without_teams_arrive: open_routes();
}

#[test]
fn routes_that_differ_in_teams_alone_are_different() {
    assert_ne!(routes(), open_routes());
}

#[test]
fn builds_before_teams_read_the_routes() {
    let read: Option<RouteTable> = decode(&encode(&message(&routes())));
    assert_eq!(read, Some(open_routes()));
    let read: OldSnapshot = decode(&encode(&snapshot(&routes())));
    assert_eq!(read, (Some(open_routes()), Some(3), vec![], vec![card()]));
}

#[test]
fn routes_of_builds_before_teams_are_not_taken() {
    let sent: RoutesMessage = decode(&encode(&Some(open_routes())));
    assert_eq!(sent.into_routes(address()), None);
    let old: OldSnapshot = (Some(open_routes()), Some(3), vec![], vec![card()]);
    let mut sent: Snapshot = decode(&encode(&old));
    assert_eq!(sent.take_routes(address()), None);
    assert_eq!((sent.read_version, sent.cards), (Some(3), vec![card()]));
}

#[test]
fn sent_routes_hold_no_key() {
    let bytes = encode(&snapshot(&routes()));
    assert!(!bytes.windows(3).any(|window| window == b"key"));
    assert!(!format!("{:?}", routes()).contains("key\""));
}
