//! Role of a bearer key.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::calls::Access;
use super::error::ApiError;

/// Longest accepted key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Returns the SHA-256 of a key, the only form in which it is stored.
pub fn hash_secret(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Caller {
    /// Name of the key, recorded as the author of changes.
    pub(super) key: String,
    pub(super) role: Role,
}

/// Role of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Operator,
    ReadOnly,
    /// The team whose data the caller sees.
    Team(String),
}

impl Caller {
    /// Makes the caller from the fields of its key.
    pub(super) fn new(key: &str, role: &str, team: &str) -> Result<Self, ApiError> {
        let role = match role {
            "operator" => Role::Operator,
            "read-only" => Role::ReadOnly,
            // An empty team would lift the restriction in queries.
            "team" if !team.is_empty() => Role::Team(team.to_owned()),
            _ => return Err(ApiError::Forbidden),
        };
        Ok(Self {
            key: key.to_owned(),
            role,
        })
    }

    /// Checks that the caller may use a call.
    pub(super) fn check(&self, access: Access) -> Result<(), ApiError> {
        match (&self.role, access) {
            (Role::Operator, _)
            | (Role::ReadOnly, Access::Reader | Access::Team)
            | (Role::Team(_), Access::Team) => Ok(()),
            (Role::ReadOnly | Role::Team(_), _) => Err(ApiError::Forbidden),
        }
    }

    /// Returns the team that queries are restricted to; empty for none.
    pub(super) fn team(&self) -> &str {
        match &self.role {
            Role::Team(team) => team,
            Role::Operator | Role::ReadOnly => "",
        }
    }
}

/// Takes the key from an `Authorization` header and hashes it.
pub(super) fn bearer_hash(header: Option<&str>) -> Result<[u8; 32], ApiError> {
    let secret = header.and_then(|value| value.strip_prefix("Bearer "));
    match secret.map(str::trim) {
        Some(secret) if !secret.is_empty() && secret.len() <= MAX_KEY_BYTES => {
            Ok(hash_secret(secret))
        }
        _ => Err(ApiError::Unauthorized),
    }
}

/// Compares two hashes in constant time.
pub(super) fn same_hash(a: &[u8; 32], b: &[u8; 32]) -> bool {
    bool::from(a.ct_eq(b))
}
