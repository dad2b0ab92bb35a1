//! Tests of the reorder buffer.

use rowanglade_capture::order::ReorderBuffer;

fn reorder(window: i64, capacity: usize, times: &[i64]) -> (Vec<(i64, usize)>, ReorderBuffer<usize>) {
    let mut reorder_buffer = ReorderBuffer::new(window, capacity);
    let mut out = Vec::new();
    for (i, at) in times.iter().enumerate() {
        reorder_buffer.push(*at, i);
        out.extend(std::iter::from_fn(|| reorder_buffer.pop()));
    }
    out.extend(std::iter::from_fn(|| reorder_buffer.finish()));
    (out, reorder_buffer)
}

#[test]
fn items_within_the_window_are_sorted() {
    let (out, reorder_buffer) = reorder(10, 100, &[5, 3, 9, 4, 12, 7]);
    assert_eq!(out, [(3, 1), (4, 3), (5, 0), (7, 5), (9, 2), (12, 4)]);
    assert_eq!(reorder_buffer.late(), (0, 0));
}

#[test]
fn items_after_the_window_are_counted_and_kept() {
    let (out, reorder_buffer) = reorder(10, 100, &[5, 30, 2, 31]);
    assert_eq!(out, [(5, 0), (5, 2), (30, 1), (31, 3)]);
    assert_eq!(reorder_buffer.late(), (1, 3));
}

// Items of the same time must keep their order, and must not be buffered beyond the capacity.
#[test]
fn burst_above_capacity_keeps_its_order() {
    let (out, reorder_buffer) = reorder(10, 3, &[7; 9]);
    assert_eq!(out.iter().map(|o| o.1).collect::<Vec<_>>(), (0..9).collect::<Vec<_>>());
    assert_eq!(reorder_buffer.released_early(), 6);
}
