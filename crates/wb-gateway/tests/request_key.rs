//! When two requests have the same key.

use http::Request;
use wb_gateway::proxy::payload::Payload;
use wb_gateway::proxy::request_key;
use wb_http::body;
use wb_types::id::RequestKey;

/// Key of a request with these headers, whose body is streamed if it is `None`.
fn key(method: &str, uri: &str, headers: &[(&str, &str)], content: Option<&str>) -> RequestKey {
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (head, ()) = request.body(()).expect("the request is valid").into_parts();
    let payload = match content {
        Some(content) => Payload::Buffered(content.to_owned().into()),
        None => Payload::Streaming(Some(body::full(Vec::new()))),
    };
    request_key::of(&head, &payload)
}

const HOST: &[(&str, &str)] = &[("host", "site.example")];

macro_rules! keys {
    ($($name:ident: $one:expr, $other:expr => $same:expr;)+) => {$(
        #[test]
        fn $name() {
            let (method, uri, headers, content) = $one;
            let one = key(method, uri, headers, content);
            let (method, uri, headers, content) = $other;
            assert_eq!(one == key(method, uri, headers, content), $same);
        }
    )+};
}

keys! {
    another_attempt: ("GET", "/a?b", &[("host", "site.example"), ("x-id", "1")][..], Some("")),
        ("GET", "/a?b", &[("host", "Site.example"), ("x-id", "2")][..], Some("")) => true;
    another_method: ("GET", "/a", HOST, Some("")), ("POST", "/a", HOST, Some("")) => false;
    another_host: ("GET", "/a", HOST, Some("")), ("GET", "/a", &[("host", "b.example")][..], Some("")) => false;
    another_query: ("GET", "/a?b=1", HOST, Some("")), ("GET", "/a?b=2", HOST, Some("")) => false;
    another_body: ("POST", "/a", HOST, Some("x")), ("POST", "/a", HOST, Some("y")) => false;
    parts_that_join_to_the_same_text: ("POST", "/ab", HOST, Some("c")), ("POST", "/a", HOST, Some("bc")) => false;
    streamed_bodies: ("POST", "/a", &[("content-length", "9")][..], None), ("POST", "/a", &[("content-length", "9")][..], None) => true;
    streamed_bodies_of_other_length: ("POST", "/a", &[("content-length", "9")][..], None), ("POST", "/a", &[("content-length", "8")][..], None) => false;
    streamed_and_buffered: ("POST", "/a", HOST, None), ("POST", "/a", HOST, Some("")) => false;
}

#[test]
fn instances_of_other_builds_have_other_keys() {
    let value = key("GET", "/lookup/7?a=b", HOST, Some(""));
    assert_eq!(request_key::text(value), "053c7fbd680c3ea6ed59da0dc611dc61");
}
