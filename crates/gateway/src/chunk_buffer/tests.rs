use bytes::Bytes;
use rstest::rstest;

use super::BLOCK_BYTES;
use super::ChunkBuffer;

/// Guards against bytes that are lost, doubled or misplaced where blocks meet.
#[rstest]
#[case::nothing(&[], 0)]
#[case::one(&[5], 0)]
#[case::one_large(&[3 * BLOCK_BYTES], 0)]
#[case::two(&[5, 7], 12)]
#[case::a_full_block(&[5, BLOCK_BYTES - 5], BLOCK_BYTES)]
#[case::one_more(&[5, BLOCK_BYTES - 5, 1], BLOCK_BYTES + 1)]
#[case::over_several_blocks(&[9, 3 * BLOCK_BYTES, 4, BLOCK_BYTES], 4 * BLOCK_BYTES + 13)]
fn chunks_are_joined_in_order(#[case] lengths: &[usize], #[case] copied_len: usize) {
    let mut buffer = ChunkBuffer::default();
    let mut expected = Vec::new();
    for (n, length) in (1_u8..).zip(lengths) {
        let chunk: Vec<u8> = (0..*length).map(|at| n.wrapping_mul(at as u8)).collect();
        expected.extend_from_slice(&chunk);
        buffer.push(Bytes::from(chunk));
        assert_eq!(buffer.len(), expected.len());
    }
    assert_eq!(buffer.is_empty(), expected.is_empty());
    assert_eq!(buffer.copied_len(), copied_len);
    assert_eq!(buffer.join().unwrap_or_default(), expected);
}
