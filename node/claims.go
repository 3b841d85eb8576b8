package node

import (
	"net/netip"

	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

// keepReturns lets refused callers claim places if the settings ask for it.
func (n *Direct) keepReturns() {
	if !n.Settings.KeepReturns {
		return
	}
	n.claims = &claim.Keeper{Self: n.origins.Self, Members: n.originMembers, Send: n.sendClaims}
	n.board.Claims, n.relay.Claims = n.claims, n.claims
	n.peers.Handlers[share.MessageClaims] = n.claims.Receive
}

// sendClaims sends a datagram about claims to a peer.
func (n *Direct) sendClaims(to netip.AddrPort, b []byte) {
	n.peers.SendMessage(to, share.MessageClaims, b)
}

// updateClaims updates the metrics of claims.
func (n *Direct) updateClaims() {
	if n.claims == nil {
		return
	}
	expired := n.claims.Expired(clock.Now())
	n.meters.Relay.ClaimsExpired.Add(expired - n.claimsExpired)
	n.claimsExpired = expired
}
