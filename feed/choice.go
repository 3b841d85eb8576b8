package feed

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry of the fleet.
type Member struct {
	// ID is the address of its datagrams, which all entries know it by.
	ID netip.AddrPort
	// Feed is the address at which it serves its facts.
	Feed netip.AddrPort
}

// Choice says where an entry reads.
type Choice struct {
	// Reader says that the entry is one of those that read the source itself.
	Reader bool
	// Parents are the other readers, in the order in which this entry asks them.
	Parents []Member
}

// Choose picks the readers of a fleet by hash, so that entries that know the same members
// choose the same ones, and orders them differently for each follower. Entries that know
// different members choose too many readers or follow a follower: that costs calls and
// age, and the age is checked.
func Choose(self netip.AddrPort, members []Member) Choice {
	n := Readers(len(members) + 1)
	own, before := rank(self), 0
	ranked := sorted(members, rank)
	for before < len(ranked) && rank(ranked[before].ID) < own {
		before++
	}
	c := Choice{Reader: before < n}
	if c.Reader {
		n--
	}
	near := func(id netip.AddrPort) uint64 { return distance(self, id) }
	c.Parents = sorted(ranked[:min(n, len(ranked))], near)
	return c
}

// sorted returns the members in the order of a hash.
func sorted(members []Member, hash func(netip.AddrPort) uint64) []Member {
	type hashed struct {
		Member
		hash uint64
	}
	list := make([]hashed, 0, len(members))
	for _, m := range members {
		list = append(list, hashed{m, hash(m.ID)})
	}
	slices.SortFunc(list, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]Member, 0, len(list))
	for _, m := range list {
		out = append(out, m.Member)
	}
	return out
}

func rank(a netip.AddrPort) uint64 { return xxhash.Sum64(appendAddr(nil, a)) }

func distance(from, to netip.AddrPort) uint64 {
	return xxhash.Sum64(appendAddr(appendAddr(nil, from), to))
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	b = append(b, ip[:]...)
	return append(b, byte(a.Port()>>8), byte(a.Port()))
}
