//! Who may have a request run: API keys are checked on arrival and again before each send.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::clock::Moment;
use credentials::{lease::Lease, table::Table};
use fleet::config::{self, Config, Route};
use hyper::HeaderMap;
use platform::request::{self, Caller};
use settings::key::Digest;

use crate::error::Error;

/// The lease on the currency of the API keys, which requests and the answers of control instances share.
#[derive(Debug, Default)]
pub struct Keys {
    lease: Mutex<Lease>,
}

/// Who makes a request, and the key that proves it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permission {
    pub(crate) caller: Caller,
    /// Priority of the organisation, in place of the route's.
    pub(crate) priority: Option<u8>,
    /// Digest of the key; `None` where none is needed.
    key: Option<Digest>,
}

impl Keys {
    /// Makes the lease of an instance at which a revoked key must be refused within `limit`, if there is such a limit.
    pub fn new(limit: Option<Duration>) -> Keys {
        Keys { lease: Mutex::new(Lease::new(limit)) }
    }

    /// Records that a version of the configuration was the newest one at a moment.
    pub fn renew(&self, version: u64, read_at: Moment) {
        self.lock().renew(version, read_at);
    }

    /// Age of the newest reading that covers a version of the configuration, if there is one.
    pub fn age(&self, version: u64) -> Option<Duration> {
        self.lock().age(version, Moment::now())
    }

    /// Checks whether the headers of a request to a route name an organisation's key, where the route needs one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::KeysOutdated`] while the keys may be outdated, [`Error::Unauthorized`] without a valid key.
    pub(crate) fn check(
        &self,
        config: &Config,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Permission, Error> {
        let Some(table) = &config.organisations else {
            return Ok(Permission::default());
        };
        if route.access == config::Access::Public {
            return Ok(Permission { caller: Caller::Managed(None), ..Permission::default() });
        }
        let key = request::api_key(headers).map(Digest::of);
        self.find(config, table, key)
    }

    /// Checks whether the key of a request is still valid in the configuration that is in force now.
    ///
    /// # Errors
    ///
    /// As [`Keys::check`].
    pub(crate) fn check_again(
        &self,
        config: &Config,
        permission: &Permission,
    ) -> Result<(), Error> {
        match (&config.organisations, permission.key) {
            (Some(table), Some(key)) => self.find(config, table, Some(key)).map(drop),
            _ => Ok(()),
        }
    }

    fn find(
        &self,
        config: &Config,
        table: &Table,
        key: Option<Digest>,
    ) -> Result<Permission, Error> {
        if !self.lock().holds(config.version, Moment::now()) {
            return Err(Error::KeysOutdated);
        }
        let key = key.ok_or(Error::Unauthorized)?;
        let organisation = table.find(&key).ok_or(Error::Unauthorized)?;
        Ok(Permission {
            caller: Caller::Managed(Some(organisation.name.clone())),
            priority: organisation.priority,
            key: Some(key),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
