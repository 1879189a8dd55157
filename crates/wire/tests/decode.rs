//! Guards against decoders that panic on malformed input from the network.

use anvilloft_wire::Command;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::frame::Frame;
use anvilloft_wire::frame::Hello;
use proptest::prelude::*;
use prost::Message;

proptest! {
    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(buf in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = Command::decode(buf.as_slice());
        let _ = ControlRequest::decode(buf.as_slice());
        let _ = Frame::decode(buf.as_slice());
        let _ = Hello::decode(buf.as_slice());
    }
}
