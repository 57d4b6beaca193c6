//! Datagrams of builds that send fewer fields.

use wb_gateway::peers::Packet;
use wb_gateway::peers::packet::Heartbeat;
use wb_gateway::peers::packet::PathReport;
use wb_members::listing::Update;
use wb_members::steering::Card;

fn heartbeat() -> Heartbeat {
    let address = "127.0.0.1:80".parse().expect("an address");
    Heartbeat {
        card: Card {
            name: "front-1".into(),
            incarnation: 1,
            domain: "a".into(),
            callers: address,
            peers: address,
            cores: 0.5,
        },
        is_home: true,
        wants_reply: false,
        routes_version: 7,
        listing_version: 8,
        listing_age: std::time::Duration::from_millis(30),
        candidates: vec!["front-2".into()],
        listing_digest: Some(3),
        path: PathReport::default(),
    }
}

/// Decodes a datagram without its last bytes.
fn shortened(packet: &Packet, missing: usize) -> Packet {
    let bytes = postcard::to_stdvec(packet).expect("packets are plain data");
    postcard::from_bytes(&bytes[..bytes.len() - missing]).expect("the packet can be decoded")
}

#[test]
fn heartbeat_without_a_digest_is_read() {
    let old = shortened(&Packet::Heartbeat(Box::new(heartbeat())), 5);
    let want = Heartbeat {
        listing_digest: None,
        ..heartbeat()
    };
    assert_eq!(old, Packet::Heartbeat(Box::new(want)));
}

#[test]
fn heartbeat_without_a_path_is_read() {
    let old = shortened(&Packet::Heartbeat(Box::new(heartbeat())), 3);
    assert_eq!(old, Packet::Heartbeat(Box::new(heartbeat())));
}

#[test]
fn update_without_a_number_is_read() {
    let update = Update {
        after: 1,
        upto: 2,
        part: 0,
        parts: 1,
        changes: Vec::new(),
        id: 5,
    };
    let old = shortened(&Packet::Servers(update.clone()), 1);
    assert_eq!(old, Packet::Servers(Update { id: 0, ..update }));
}
