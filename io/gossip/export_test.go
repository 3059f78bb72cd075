package gossip

import "almondrill/core"

// Ahead is the peer that would be asked for news beyond own; "" if there is none.
func (gr *Group) Ahead(own core.Version) string {
	addr, _ := gr.ahead(own)
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.fetched = false
	return addr
}
