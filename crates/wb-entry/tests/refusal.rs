//! Refusals of backend servers that belong to another request.

use http::HeaderMap;
use http::HeaderValue;
use wb_entry::proxy::header;

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let fields = fields.iter();
    fields
        .map(|(name, value)| {
            let name = http::HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect()
}

macro_rules! response_tests {
    ($($name:ident: $fields:expr, reused $reused:literal => $own:literal;)+) => {$(
        #[test]
        fn $name() {
            let headers = headers(&$fields);
            assert_eq!(header::is_response_to("e-1-7", &headers, $reused), $own);
        }
    )+};
}

response_tests! {
    refusal_of_this_request_is_believed: [(header::SHED, "1"), (header::REQUEST_ID, "e-1-7")], reused true => true;
    refusal_of_an_earlier_request_is_believed: [(header::SHED, "1"), (header::REQUEST_ID, "e-1-6")], reused true => false;
    refusal_without_an_id_on_a_kept_connection_is_believed: [(header::SHED, "1")], reused true => false;
    refusal_without_an_id_on_a_new_connection_is_not_believed: [(header::SHED, "1")], reused false => true;
    answer_to_an_earlier_request_is_passed_on: [(header::REQUEST_ID, "e-1-6")], reused true => false;
    answer_without_an_id_is_lost: [], reused true => true;
}
