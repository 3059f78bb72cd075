package conns

import (
	"slices"

	"almondrill/core/ledger"
)

// reserve reserves the descriptor of a connection. If there is none, it closes the idle connection that expires first.
func (po *Pool) reserve() bool {
	if po.Descriptors.Reserve(ledger.Endpoints, 1) {
		return true
	}
	co := po.popExpiring()
	if co == nil {
		return false
	}
	co.Close()
	return po.Descriptors.Reserve(ledger.Endpoints, 1)
}

// popExpiring returns the idle connection that expires first, nil if none is idle.
func (po *Pool) popExpiring() *Conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	var first *Conn
	for _, list := range po.idle {
		for _, co := range list {
			if first == nil || co.expires.Before(first.expires) {
				first = co
			}
		}
	}
	if first != nil {
		po.idle[first.Addr] = slices.DeleteFunc(po.idle[first.Addr], func(co *Conn) bool { return co == first })
	}
	return first
}
