//! Authentication by bearer keys, and the access of their roles.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::calls::Access;
use super::error::ApiError;

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Returns the SHA-256 of a key. Keys are stored in no other form.
pub fn hash_secret(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

/// Authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Caller {
    /// Name of the key, recorded as the author of changes.
    pub(super) key: String,
    pub(super) role: Role,
}

/// Role of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Operator,
    ReadOnly,
    /// Restricted to the data of this team.
    Team(String),
}

impl Caller {
    /// Creates a caller from the fields of its key.
    pub(super) fn new(key: &str, role: &str, team: &str) -> Result<Self, ApiError> {
        let role = match role {
            "operator" => Role::Operator,
            "read-only" => Role::ReadOnly,
            // In queries an empty team means no restriction.
            "team" if !team.is_empty() => Role::Team(team.to_owned()),
            _ => return Err(ApiError::Forbidden),
        };
        Ok(Self {
            key: key.to_owned(),
            role,
        })
    }

    /// Returns an error unless the caller's role permits calls with this access.
    pub(super) fn check_access(&self, access: Access) -> Result<(), ApiError> {
        match (&self.role, access) {
            (Role::Operator, _)
            | (Role::ReadOnly, Access::Reader | Access::Team)
            | (Role::Team(_), Access::Team) => Ok(()),
            (Role::ReadOnly | Role::Team(_), _) => Err(ApiError::Forbidden),
        }
    }

    /// Returns the team to which queries are restricted; empty for no restriction.
    pub(super) fn team(&self) -> &str {
        match &self.role {
            Role::Team(team) => team,
            Role::Operator | Role::ReadOnly => "",
        }
    }
}

/// Returns the hash of the key in an `Authorization` header.
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
pub(super) fn hashes_equal(a: &[u8; 32], b: &[u8; 32]) -> bool {
    bool::from(a.ct_eq(b))
}
