//! Routers that hold the tokens of their data centre's small reserves.
//!
//! With many routers, each of them sees few requests of a team. A reserve of its own
//! would have to last for one large request at least, so the reserves of all routers
//! together would be many times what the team needs, and still lack a token at the router
//! that the next request comes to. So a few routers of each data centre hold the reserves
//! of all of its routers, which draw on them for single requests. All routers find the
//! holder of a budget by rendezvous hashing; where their views of the directory differ,
//! they use different holders for a while, which costs tokens in reserve and nothing else.

use anvilloft_types::prelude::*;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;

use crate::routers::score;

/// Number of routers of a data centre that hold tokens for the others. The others keep a
/// session with each of them.
pub const HOLDERS: usize = 4;
/// Key of the choice of holders among the routers.
const HOLDERS_KEY: &str = "token holders";

/// The routers of one data centre that hold tokens for the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenHolders {
    // Sorted by name.
    holders: Vec<(RouterId, String)>,
}

impl TokenHolders {
    /// Chooses the holders of a data centre among the routers that are alive.
    pub fn choose(routers: &[OpenIncarnation], silent: &[String], data_centre: &str) -> Self {
        let mut alive: Vec<&OpenIncarnation> = routers
            .iter()
            .filter(|r| r.data_centre == data_centre)
            .filter(|r| r.state == i32::from(RouterState::Alive) && !silent.contains(&r.router))
            .collect();
        alive.sort_by_key(|r| std::cmp::Reverse(score(HOLDERS_KEY, &r.router)));
        alive.truncate(HOLDERS);
        let name_and_address = |r: &OpenIncarnation| (r.router.clone(), r.peer_address.clone());
        let mut holders: Vec<_> = alive.into_iter().map(name_and_address).collect();
        holders.sort();
        Self { holders }
    }

    /// Returns the names of the holders that may have tokens of a budget, the one that
    /// should have them first.
    pub fn of(&self, budget: &str) -> Vec<&str> {
        let mut names: Vec<&str> = self.holders.iter().map(|(name, _)| name.as_str()).collect();
        names.sort_by_key(|name| std::cmp::Reverse(score(budget, name)));
        names
    }

    /// Returns the peer addresses of the holders to which a router opens sessions: of two
    /// holders, the one with the lower name does.
    pub fn to_dial(&self, own_name: &str) -> Vec<&str> {
        let is_holder = self
            .holders
            .binary_search_by(|(name, _)| name.as_str().cmp(own_name))
            .is_ok();
        self.holders
            .iter()
            .filter(|(name, _)| name != own_name && (!is_holder || own_name < name.as_str()))
            .map(|(_, address)| address.as_str())
            .collect()
    }
}
