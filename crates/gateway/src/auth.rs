//! Authentication of callers and endpoints by bearer keys.

use anvilloft_ledger::Config;
use anvilloft_wire::config::Key;
use http::HeaderMap;
use http::StatusCode;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::error::Refusal;

/// Maximum length of a bearer token, in bytes.
const MAX_TOKEN_BYTES: usize = 512;

/// Team and budget of an authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) team: String,
    pub(crate) budget: String,
    pub(crate) default_rank: String,
}

/// Returns the bearer token of the `Authorization` header.
fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(http::header::AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked(7)?;
    let token = token.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"bearer ") && !token.is_empty() && token.len() <= MAX_TOKEN_BYTES)
        .then_some(token)
}

/// Authenticates a caller by its bearer key.
///
/// The key is hashed before the lookup, so the duration of the lookup reveals
/// nothing about a key. The hash that is found is compared in constant time.
pub(crate) fn authenticate(config: &Config, headers: &HeaderMap) -> Result<Caller, Refusal> {
    let token = bearer(headers).ok_or_else(Refusal::invalid_key)?;
    let hash: [u8; 32] = Sha256::digest(token).into();
    let key: &Key = config.key_by_hash(&hash).ok_or_else(Refusal::invalid_key)?;
    if !bool::from(key.hash.as_slice().ct_eq(&hash)) {
        return Err(Refusal::invalid_key());
    }
    let team = config.team(&key.team).ok_or_else(Refusal::invalid_key)?;
    if team.disabled {
        return Err(Refusal::new(
            StatusCode::FORBIDDEN,
            "team_disabled",
            "the team is disabled",
        ));
    }
    if key.budget.is_empty() {
        return Err(Refusal::new(
            StatusCode::FORBIDDEN,
            "no_budget",
            "the key has no budget",
        ));
    }
    Ok(Caller {
        team: key.team.clone(),
        budget: key.budget.clone(),
        default_rank: team.default_rank.clone(),
    })
}

/// Returns whether the bearer token is the endpoint key.
pub(crate) fn is_endpoint_key(headers: &HeaderMap, key: &str) -> bool {
    let Some(token) = bearer(headers) else {
        return false;
    };
    // Hashes have equal lengths, so the comparison reveals nothing about the key.
    let given: [u8; 32] = Sha256::digest(token).into();
    let known: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    !key.is_empty() && bool::from(given.ct_eq(&known))
}
