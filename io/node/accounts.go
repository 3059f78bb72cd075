package node

import (
	"net"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ledger"
	"almondrill/io/accept"
	"almondrill/io/stats"
)

const (
	maxHead           = 32 << 10
	callerIdleTimeout = 2 * time.Minute
	// adminMaxHead bounds the size of a head, in bytes, at the listener for operators and health checks, and
	// adminReadTimeout and adminWriteTimeout the time to read a request there and to write its response.
	adminMaxHead      = 8 << 10
	adminReadTimeout  = 10 * time.Second
	adminWriteTimeout = 30 * time.Second
	// adminShare is the share of the process's own descriptors that connections to that listener may take.
	adminShare = 0.25
)

// buildAccounts creates the accounts of what clients may make the process hold.
func (pr *Process) buildAccounts() {
	se := pr.Settings
	bytes, descriptors := ledger.Bytes, ledger.RouterDescriptors
	if pr.Role == core.RoleAgent {
		bytes, descriptors = ledger.AgentBytes, ledger.AgentDescriptors
	}
	pr.accounts = accept.NewAccounts(bytes, descriptors)
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

func (pr *Process) callersListener() *accept.Listener {
	li := pr.listener("CallersAddr", pr.listeners.callers, maxHead)
	li.Class, li.Descriptors = ledger.Callers, &pr.accounts.Descriptors
	li.Timeouts.Set(callerIdleTimeout, pr.Settings.BodyTimeout)
	return li
}

// adminListener returns the listener for operators and health checks, whose bytes do not depend on what clients hold.
func (pr *Process) adminListener() *accept.Listener {
	li := pr.listener("AdminAddr", pr.listeners.admin, adminMaxHead)
	li.Bytes, li.Most = nil, max(1, int(adminShare*float64(pr.ownDescriptors)))
	return li
}

// messageRejected counts and logs a message of a peer that was refused.
func (pr *Process) messageRejected(step string, err error) {
	pr.Stats.Add(stats.MessagesRejected, 1)
	pr.logger.Warn("Refused a message of a peer.", zap.String("Step", step), zap.Error(err))
}

// deadlineShortened counts and logs a call of a peer whose deadline was shortened.
func (pr *Process) deadlineShortened(ca *core.Call) {
	pr.Stats.Add(stats.DeadlinesShortened, 1)
	pr.logger.Warn("Shortened the deadline of a peer's call.", zap.String("Customer", string(ca.Customer)), zap.Duration("Max", pr.Settings.MaxDeadline))
}
