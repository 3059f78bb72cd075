package place

import "slices"

// eligibleMembers returns the endpoints of the pool to which the request may go.
func (pl *Placer) eligibleMembers(rq *Request) []*state {
	members := pl.pools[rq.Pool]
	if !rq.RegionBound {
		return members
	}
	var eligible []*state
	for _, st := range members {
		if pl.inHomeRegions(rq, st) {
			eligible = append(eligible, st)
		}
	}
	return eligible
}

// inHomeRegions reports whether the endpoint is in one of the request's home regions.
func (pl *Placer) inHomeRegions(rq *Request, st *state) bool {
	region, known := pl.Regions[st.Zone]
	return known && slices.Contains(rq.HomeRegions, region)
}

// eligible reports whether the endpoint's pool and region allow it to be picked or to be named as
// the holder of a prompt.
func (ch *choice) eligible(pl *Placer, st *state) bool {
	return st.Pool == ch.rq.Pool && (!ch.rq.RegionBound || pl.inHomeRegions(ch.rq, st))
}

// lacksHomeRegion reports whether the pool has endpoints, but none to which the request may go.
func (ch *choice) lacksHomeRegion(pl *Placer) bool {
	return ch.rq.RegionBound && len(ch.members) == 0 && len(pl.pools[ch.rq.Pool]) > 0
}
