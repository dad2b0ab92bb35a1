//! Tests of the reordering window.

use rowanglade_capture::order::ReorderBuffer;

fn merged(window: i64, most: usize, times: &[i64]) -> (Vec<(i64, usize)>, ReorderBuffer<usize>) {
    let mut merger = ReorderBuffer::new(window, most);
    let mut out = Vec::new();
    for (i, at) in times.iter().enumerate() {
        merger.push(*at, i);
        out.extend(std::iter::from_fn(|| merger.pop()));
    }
    out.extend(std::iter::from_fn(|| merger.finish()));
    (out, merger)
}

#[test]
fn what_comes_within_the_window_is_put_in_order() {
    let (out, merger) = merged(10, 100, &[5, 3, 9, 4, 12, 7]);
    assert_eq!(out, [(3, 1), (4, 3), (5, 0), (7, 5), (9, 2), (12, 4)]);
    assert_eq!(merger.late(), (0, 0));
}

#[test]
fn what_comes_later_is_counted_and_kept() {
    let (out, merger) = merged(10, 100, &[5, 30, 2, 31]);
    assert_eq!(out, [(5, 0), (5, 2), (30, 1), (31, 3)]);
    assert_eq!(merger.late(), (1, 3));
}

// A burst of one time must neither be reordered nor grow without bound.
#[test]
fn a_burst_keeps_its_order_and_the_bound() {
    let (out, merger) = merged(10, 3, &[7; 9]);
    assert_eq!(out.iter().map(|o| o.1).collect::<Vec<_>>(), (0..9).collect::<Vec<_>>());
    assert_eq!(merger.released_early(), 6);
}
