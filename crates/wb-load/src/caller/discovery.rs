//! Discovery of addresses, and requests for tickets.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use wb_entry::proxy::fleet_api::Addresses;
use wb_entry::proxy::fleet_api::Tickets;
use wb_http::client::Client;

use super::CachedAddresses;
use super::Caller;

/// Timeout for one discovery or ticket request.
const TIMEOUT: Duration = Duration::from_millis(1500);

impl Caller {
    /// Returns the cached addresses of a service, or requests them from the instances in random
    /// order. Returns an empty list if no instance answers.
    pub(super) async fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        if let Some(addresses) = self.cached_addresses(service) {
            return addresses;
        }
        let mut instances = self.instances.clone();
        instances.shuffle(&mut rand::rng());
        for instance in instances {
            let path = format!("/.fleet/addresses?service={service}");
            let Ok(response) = self.client(instance).get(&path).await else {
                continue;
            };
            let Ok(listing) = response.json::<Addresses>() else {
                continue;
            };
            self.cache_addresses(service, &listing);
            return listing.addresses;
        }
        Vec::new()
    }

    fn client(&self, address: SocketAddr) -> Client {
        Client {
            pool: self.pool.clone(),
            address,
            timeout: TIMEOUT,
            token: Some(self.key.clone()),
        }
    }

    fn cached_addresses(&self, service: &str) -> Option<Vec<SocketAddr>> {
        let cache = self.cache.lock().expect("lock is not poisoned");
        let now = Instant::now();
        let found = cache
            .iter()
            .find(|cached| cached.service == service && cached.expires > now);
        found.map(|cached| cached.addresses.clone())
    }

    fn cache_addresses(&self, service: &str, listing: &Addresses) {
        let mut cache = self.cache.lock().expect("lock is not poisoned");
        cache.retain(|cached| cached.service != service);
        cache.push(CachedAddresses {
            service: service.to_owned(),
            addresses: listing.addresses.clone(),
            expires: Instant::now() + Duration::from_millis(listing.ttl_ms),
        });
    }

    /// Evicts the cached addresses of a service.
    pub fn evict_addresses(&self, service: &str) {
        let mut cache = self.cache.lock().expect("lock is not poisoned");
        cache.retain(|cached| cached.service != service);
    }

    /// Requests tickets from the instances in random order; empty if none answers.
    pub async fn request_tickets(&self, count: usize) -> Vec<String> {
        let mut instances = self.instances.clone();
        instances.shuffle(&mut rand::rng());
        for instance in instances {
            let path = format!("/.fleet/tickets?count={count}");
            let client = self.client(instance);
            if let Ok(response) = client.post(&path, &()).await
                && let Ok(tickets) = response.json::<Tickets>()
            {
                return tickets.tickets;
            }
        }
        Vec::new()
    }

    /// Returns a random instance, which need not be a home of any service.
    pub fn random_instance(&self) -> Option<SocketAddr> {
        self.instances.choose(&mut rand::rng()).copied()
    }
}
