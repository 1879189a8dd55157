//! Checks the design page against the protocol.

use anvilloft_wire::frame::Frame;
use prost::Message;

/// Guards against frames that are missing on the design page, which specifies the
/// protocol.
#[test]
fn the_design_page_lists_every_frame() {
    let page = include_str!("../../../docs/design.md");
    let list = page
        .lines()
        .find(|l| l.starts_with("`Frame` is one of:"))
        .unwrap_or_default();
    let mut count = 0;
    // A one-byte field key holds the tag above three bits of wire type.
    for tag in 1..=15_u8 {
        let decoded = [0, 2].map(|wire_type| Frame::decode([tag << 3 | wire_type, 0].as_slice()));
        let Some(payload) = decoded.into_iter().flatten().find_map(|f| f.payload) else {
            continue;
        };
        let name = format!("{payload:?}");
        let name = name.split('(').next().unwrap_or_default();
        let listed = list.contains(&format!("`{name}`")) || list.contains(&format!("`{name}{{"));
        assert!(listed, "{name} (tag {tag}) is not listed");
        count += 1;
    }
    assert!(count >= 10, "{count} frames");
}
