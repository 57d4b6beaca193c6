//! Asking for addresses and tickets.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use wb_entry::proxy::fleet_api::Addresses;
use wb_entry::proxy::fleet_api::Tickets;
use wb_http::client::Client;

use super::Caller;
use super::Kept;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(1500);

impl Caller {
    /// Addresses of a service: kept ones, or asked for anew.
    pub(super) async fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        if let Some(addresses) = self.kept(service) {
            return addresses;
        }
        let mut entries = self.entries.clone();
        entries.shuffle(&mut rand::rng());
        for entry in entries {
            let path = format!("/.fleet/addresses?service={service}");
            let Ok(whole) = self.target(entry).get(&path).await else {
                continue;
            };
            let Ok(answer) = whole.json::<Addresses>() else {
                continue;
            };
            self.keep(service, &answer);
            return answer.addresses;
        }
        Vec::new()
    }

    fn target(&self, address: SocketAddr) -> Client {
        Client {
            pool: self.pool.clone(),
            address,
            timeout: TIMEOUT,
            token: Some(self.key.clone()),
        }
    }

    fn kept(&self, service: &str) -> Option<Vec<SocketAddr>> {
        let kept = self.kept.lock().expect("no holder panics");
        let now = Instant::now();
        let found = kept
            .iter()
            .find(|kept| kept.service == service && kept.until > now);
        found.map(|kept| kept.addresses.clone())
    }

    fn keep(&self, service: &str, answer: &Addresses) {
        let mut kept = self.kept.lock().expect("no holder panics");
        kept.retain(|kept| kept.service != service);
        kept.push(Kept {
            service: service.to_owned(),
            addresses: answer.addresses.clone(),
            until: Instant::now() + Duration::from_millis(answer.ttl_ms),
        });
    }

    /// Forgets the addresses of a service.
    pub fn forget(&self, service: &str) {
        let mut kept = self.kept.lock().expect("no holder panics");
        kept.retain(|kept| kept.service != service);
    }

    /// Takes tickets from some instance.
    pub async fn tickets(&self, count: usize) -> Vec<String> {
        let mut entries = self.entries.clone();
        entries.shuffle(&mut rand::rng());
        for entry in entries {
            let path = format!("/.fleet/tickets?count={count}");
            let target = self.target(entry);
            if let Ok(whole) = target.post(&path, &()).await
                && let Ok(tickets) = whole.json::<Tickets>()
            {
                return tickets.tickets;
            }
        }
        Vec::new()
    }

    /// Some instance, whatever it is a home of.
    pub fn any(&self) -> Option<SocketAddr> {
        self.entries.choose(&mut rand::rng()).copied()
    }
}
