package node

import (
	"net"

	"almondrill/core"
	"almondrill/core/ledger"
	"almondrill/io/accept"
	"almondrill/io/stats"
)

// buildAccounts creates the accounts of what clients may make the process hold.
func (pr *Process) buildAccounts() {
	se := pr.Settings
	shares := ledger.RouterDescriptors
	if pr.Role == core.RoleAgent {
		shares = ledger.AgentDescriptors
	}
	pr.accounts = accept.NewAccounts(shares)
	pr.ownDescriptors = pr.accounts.SetLimits(se.MemoryMB, se.MaxDescriptors, se.FileDescriptors)
	pr.Stats.SetFunc(stats.BytesHeld, pr.accounts.Bytes.Total)
	pr.Stats.SetFunc(stats.DescriptorsHeld, pr.accounts.Descriptors.Total)
	pr.peerConns = pr.listener("PeersAddr", pr.listeners.peers, 0)
	pr.peerConns.Class, pr.peerConns.Descriptors, pr.peerConns.Messages = ledger.Peers, &pr.accounts.Descriptors, true
}

// maxPeerConns returns how many connections to peers are kept open.
func (pr *Process) maxPeerConns() int {
	if most := int(pr.accounts.Descriptors.Most(ledger.Endpoints)); most > 0 {
		return min(pr.Settings.MaxConnections, most)
	}
	return pr.Settings.MaxConnections
}

// listener returns a listener whose connections are within the process's accounts.
func (pr *Process) listener(key string, li net.Listener, head int64) *accept.Listener {
	return &accept.Listener{
		Listener: li, Name: key, Bytes: &pr.accounts.Bytes,
		MaxHead:  func() accept.HeadLimit { return accept.HeadLimit{Bytes: head, Refusal: accept.TooLarge} },
		Timeouts: &accept.Timeouts{}, Stats: pr.Stats, Log: pr.Logs.Part("accept"),
	}
}
