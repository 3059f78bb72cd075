package accept

// CountHead counts a head that arrives in pieces. It returns its size, whether it has ended, and what it costs.
func CountHead(pieces [][]byte) (size int64, ended bool, cost int64) {
	hc := headCounter{}
	hc.begin()
	for _, pi := range pieces {
		cost += hc.count(pi)
	}
	return hc.size, hc.ended, cost
}
