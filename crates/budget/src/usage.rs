//! How much of their reservations the requests of a budget use.

use anvilloft_types::Tokens;

/// Number of requests over which the sums are averaged.
const WINDOW_REQUESTS: Tokens = 16;
/// Margin of [`Usage::max_return`] over the mean: a request that fails gives back more than
/// one that ends.
const RETURN_MARGIN: u128 = 2;

/// Reservations of the latest requests, and what they used of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    reserved: Tokens,
    used: Tokens,
}

impl Usage {
    /// Records a request that has ended.
    pub fn record(&mut self, reserved: Tokens, used: Tokens) {
        let decayed = |sum: Tokens| sum - sum.div_ceil(WINDOW_REQUESTS);
        self.reserved = decayed(self.reserved).saturating_add(reserved);
        self.used = decayed(self.used).saturating_add(used.min(reserved));
    }

    /// Returns how many of `reserved` tokens come back at most when their requests end.
    /// Without a request to go by, all of them may.
    pub fn max_return(&self, reserved: Tokens) -> Tokens {
        if self.reserved == 0 {
            return reserved;
        }
        let unused = u128::from(self.reserved.saturating_sub(self.used));
        let returned = u128::from(reserved) * unused * RETURN_MARGIN / u128::from(self.reserved);
        Tokens::try_from(returned).map_or(reserved, |r| r.min(reserved))
    }
}
