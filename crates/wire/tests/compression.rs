//! Packed route tables.

use anvilloft_wire::compression::MAX_DECOMPRESSED_BYTES;
use anvilloft_wire::compression::compress;
use anvilloft_wire::compression::decompress;

/// Guards against a table that comes back changed, and against one that is too
/// large for what a control member can send to 80 routers.
#[test]
fn a_table_of_many_routes_packs_to_a_tenth() {
    let route = |n: u32| {
        format!(
            "{{\"name\":\"r-{n}\",\"host\":\"h.example\",\"prefix\":\"/p{n}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\",\"max_endpoints\":2}}"
        )
    };
    let source: String = (0..600).map(route).collect();
    let packed = compress(source.as_bytes()).expect("a packed table");
    assert!(
        packed.len() * 10 < source.len(),
        "{} of {}",
        packed.len(),
        source.len()
    );
    assert_eq!(decompress(&packed).expect("a table"), source.into_bytes());
}

/// Guards against a few bytes that decompress to more than a router's memory, and
/// against damaged ones.
#[test]
fn damaged_and_oversized_tables_are_refused() {
    let zeros = vec![0; usize::try_from(MAX_DECOMPRESSED_BYTES).expect("a size") + 1];
    let bomb = compress(&zeros).expect("a packed table");
    assert!(decompress(&bomb).is_err());
    assert!(decompress(&bomb[..bomb.len() / 2]).is_err());
    assert!(decompress(b"not packed").is_err());
}
