//! Compression of route tables.

use anvilloft_wire::compression::MAX_DECOMPRESSED_BYTES;
use anvilloft_wire::compression::compress;
use anvilloft_wire::compression::decompress;

/// Guards against a table that is changed by compression, and against one that is
/// too large for a control member to send to 80 routers.
#[test]
fn a_table_of_many_routes_compresses_to_a_tenth() {
    let route = |n: u32| {
        format!(
            "{{\"name\":\"r-{n}\",\"host\":\"h.example\",\"prefix\":\"/p{n}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\",\"max_endpoints\":2}}"
        )
    };
    let source: String = (0..600).map(route).collect();
    let compressed = compress(source.as_bytes()).expect("a compressed table");
    assert!(
        compressed.len() * 10 < source.len(),
        "{} of {} bytes",
        compressed.len(),
        source.len()
    );
    assert_eq!(
        decompress(&compressed).expect("a table"),
        source.into_bytes()
    );
}

/// Guards against small input that decompresses to more than a router's memory,
/// and against corrupt input.
#[test]
fn corrupt_and_oversized_tables_are_rejected() {
    let zeros = vec![0; usize::try_from(MAX_DECOMPRESSED_BYTES).expect("a size") + 1];
    let bomb = compress(&zeros).expect("a compressed table");
    assert!(decompress(&bomb).is_err());
    assert!(decompress(&bomb[..bomb.len() / 2]).is_err());
    assert!(decompress(b"not compressed").is_err());
}
