//! What callers of a router get whose link can't carry their requests.

use std::time::Duration;

use anvilloft_dispatch::LinkBudget;

/// A link of 10 Mbit/s.
const LINK: u64 = 1_250_000;
/// Level, requests in a second, bytes of the request, events of the answer.
const STREAMS: [(u8, u32, usize, u32); 3] =
    [(0, 39, 17_000, 24), (1, 29, 9_200, 10), (2, 40, 1_500, 34)];
/// Bytes of an event on the link.
const EVENT: usize = 110;
const SPAN: Duration = Duration::from_millis(5);

struct Served {
    /// Share of the streams that were not refused, by rank.
    share: [f64; 3],
    /// Longest time that bytes waited for the link.
    wait: Duration,
    /// Share of the link that was used.
    used: f64,
}

/// Plays `times` the streams of a large team for 20 s. Events of an answer come
/// evenly over a second.
fn play(times: f64) -> Served {
    let mut link = LinkBudget::new(LINK);
    let spans = 4_000_usize;
    let mut asked = [0_u32; 3];
    let mut taken = [0_u32; 3];
    let mut due = [0.0; 3];
    let mut events = vec![0_usize; spans + 400];
    let (mut queue, mut most, mut carried) = (0.0_f64, 0.0_f64, 0.0_f64);
    let carry = LINK as f64 * SPAN.as_secs_f64();
    for span in 0..spans {
        let now = SPAN * u32::try_from(span).unwrap();
        for (rank, (level, rate, bytes, answer)) in STREAMS.into_iter().enumerate() {
            due[rank] += f64::from(rate) * times * SPAN.as_secs_f64();
            while due[rank] >= 1.0 {
                due[rank] -= 1.0;
                asked[rank] += 1;
                if link.refuses(now, level) {
                    continue;
                }
                taken[rank] += 1;
                link.sent(now, bytes);
                queue += bytes as f64;
                for n in 1..=answer as usize {
                    events[span + n * 200 / answer as usize] += EVENT;
                }
            }
        }
        link.sent(now, events[span]);
        queue += events[span] as f64;
        let sent = queue.min(carry);
        carried += sent;
        queue -= sent;
        most = most.max(queue);
    }
    Served {
        share: std::array::from_fn(|r| f64::from(taken[r]) / f64::from(asked[r])),
        wait: Duration::from_secs_f64(most / LINK as f64),
        used: carried / (carry * spans as f64),
    }
}

/// The load: the streams of a large team at 0.7 to 3 times the bytes that the
/// link can carry. Guards against packets that wait until connections to
/// endpoints time out (300 ms), against urgent streams that are refused while
/// others are taken, and against a link that is left idle.
#[test]
fn the_least_urgent_streams_leave_room_on_the_link() {
    struct Case {
        times: f64,
        /// Least share of the most urgent streams that is taken.
        urgent: f64,
        /// Least share of the link that is used.
        used: f64,
    }
    let cases = [
        Case {
            times: 0.7,
            urgent: 1.0,
            used: 0.5,
        },
        Case {
            times: 1.2,
            urgent: 0.99,
            used: 0.7,
        },
        Case {
            times: 3.0,
            urgent: 0.3,
            used: 0.7,
        },
    ];
    for c in cases {
        let served = play(c.times);
        let [urgent, middle, least] = served.share;
        assert!(urgent >= c.urgent, "{}: {:?}", c.times, served.share);
        assert!(urgent >= middle && middle >= least, "{:?}", served.share);
        let limit = Duration::from_millis(250);
        assert!(served.wait <= limit, "{}: {:?}", c.times, served.wait);
        assert!(served.used >= c.used, "{}: {:.2}", c.times, served.used);
    }
}

/// Guards against refusals where the link is not known, and after a pause.
#[test]
fn a_link_without_bound_or_load_refuses_nothing() {
    let mut unknown = LinkBudget::new(0);
    unknown.sent(Duration::ZERO, 1 << 30);
    assert!((0..3).all(|level| !unknown.refuses(Duration::ZERO, level)));
    let mut link = LinkBudget::new(LINK);
    link.sent(Duration::ZERO, 1 << 30);
    assert!(link.refuses(Duration::ZERO, 0));
    let later = Duration::from_millis(500);
    assert!((0..3).all(|level| !link.refuses(later, level)));
}
