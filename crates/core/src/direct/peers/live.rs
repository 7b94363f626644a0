//! Queries about the live entries: their addresses and groups, and the rank of this entry among
//! them.

use std::net::Ipv4Addr;

use super::Member;
use super::Peers;
use super::table::MemberTable;
use super::table::Peer;
use crate::direct::rendezvous;
use crate::direct::spread::Group;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

impl Peers {
    /// The number of live entries, this one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.table.lock().live(now).count()
    }

    /// Whether this entry had peers and all of them are silent now.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let table = self.table.lock();
        table.had_peers && table.live(now).next().is_none()
    }

    /// The live entries, this one included, whether they are leaving or not.
    pub fn live_entries(&self, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        std::iter::once(table.own.ip).chain(table.live(now).map(|peer| peer.member.ip)).collect()
    }

    /// The live peers that are not leaving.
    pub fn staying_peers(&self, now: Instant) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        let members = table.live(now).map(|peer| &peer.member);
        members.filter(|member| !member.leaving).map(|member| member.ip).collect()
    }

    /// Whether the live peer at `ip` is in this entry's failure domain; `None` if there is no such peer.
    pub fn is_near(&self, ip: Ipv4Addr, now: Instant) -> Option<bool> {
        let table = self.table.lock();
        let mut members = table.live(now).map(|peer| &peer.member);
        let member = members.find(|member| member.ip == ip)?;
        Some(member.domain == table.own.domain)
    }

    /// The rank of this entry among the live ones for `key`, from 0.
    pub fn rank(&self, key: &str, now: Instant) -> usize {
        self.table.lock().rank(now, &[], |member| rendezvous::score(key, member.ip))
    }

    /// The rank of this entry among the live ones for `server`, from 0; those in `without` do not
    /// count. Entries of the server's failure domain come first, since they probe it most.
    pub fn rank_for_server(
        &self,
        server: &str,
        domain: &str,
        without: &[Ipv4Addr],
        now: Instant,
    ) -> usize {
        let score = |member: &Member| rendezvous::score(server, member.ip);
        let key = |member: &Member| (member.domain.as_str() == domain, score(member));
        self.table.lock().rank(now, without, key)
    }

    /// A random live peer whose heartbeat came from itself, if possible one of this entry's failure
    /// domain. An entry that has just started may still receive, from others, members that have
    /// ended.
    pub fn contacted_peer(&self, now: Instant, random: &impl Random) -> Option<Ipv4Addr> {
        let table = self.table.lock();
        let contacted = table.live(now).filter(|peer| peer.contacted);
        let (same_domain, others): (Vec<&Peer>, Vec<&Peer>) =
            contacted.partition(|peer| peer.member.domain == table.own.domain);
        let candidates = if same_domain.is_empty() { others } else { same_domain };
        let index = random.index(candidates.len());
        candidates.get(index).map(|peer| peer.member.ip)
    }

    /// The live peers by failure domain.
    pub fn groups(&self, now: Instant) -> Vec<Group> {
        let table = self.table.lock();
        let mut domains: Vec<(&name::Domain, Group)> = Vec::new();
        for member in table.live(now).map(|peer| &peer.member) {
            let index = domains.iter().position(|(domain, _)| **domain == member.domain);
            let index = index.unwrap_or_else(|| {
                let same_domain = member.domain == table.own.domain;
                let group = Group { same_domain, staying: Vec::new(), leaving: Vec::new() };
                domains.push((&member.domain, group));
                domains.len() - 1
            });
            let group = &mut domains[index].1;
            let list = if member.leaving { &mut group.leaving } else { &mut group.staying };
            list.push(member.ip);
        }
        domains.into_iter().map(|(_, group)| group).collect()
    }

    /// The live entries that callers in `domain` may use, without those that are leaving: the
    /// entries of that failure domain if there are at least `min_count`, else all.
    pub fn entries_for_callers(
        &self,
        domain: &str,
        min_count: usize,
        now: Instant,
    ) -> Vec<Ipv4Addr> {
        let table = self.table.lock();
        let own = std::iter::once(&table.own);
        let members =
            own.chain(table.live(now).map(|peer| &peer.member)).filter(|member| !member.leaving);
        let members: Vec<&Member> = members.collect();
        let same_domain = || members.iter().filter(|member| member.domain.as_str() == domain);
        if same_domain().count() >= min_count {
            return same_domain().map(|member| member.ip).collect();
        }
        members.iter().map(|member| member.ip).collect()
    }
}

impl MemberTable {
    /// How many live peers that are not leaving and not in `without` come before this entry; the
    /// highest key comes first.
    fn rank<K: Ord>(
        &self,
        now: Instant,
        without: &[Ipv4Addr],
        key: impl Fn(&Member) -> K,
    ) -> usize {
        let own = key(&self.own);
        let counts = |peer: &&Peer| !peer.member.leaving && !without.contains(&peer.member.ip);
        let peers = self.live(now).filter(counts);
        peers.filter(|peer| key(&peer.member) > own).count()
    }
}
