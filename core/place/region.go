package place

import "slices"

// eligibleMembers are the endpoints of the pool to which the request may go.
func (pl *Placer) eligibleMembers(rq *Request) []*state {
	members := pl.pools[rq.Pool]
	if !rq.RegionBound {
		return members
	}
	var among []*state
	for _, st := range members {
		if pl.inHomeRegions(rq, st) {
			among = append(among, st)
		}
	}
	return among
}

// inHomeRegions tells whether the endpoint is in one of the request's home regions.
func (pl *Placer) inHomeRegions(rq *Request, st *state) bool {
	region, known := pl.Regions[st.Zone]
	return known && slices.Contains(rq.HomeRegions, region)
}

// eligible tells whether the endpoint may be picked, or named as the holder of a prompt, as far as
// its pool and region are concerned.
func (ch *choice) eligible(pl *Placer, st *state) bool {
	return st.Pool == ch.rq.Pool && (!ch.rq.RegionBound || pl.inHomeRegions(ch.rq, st))
}

// lacksHomeRegion tells whether the pool has endpoints, but none where the request may go.
func (ch *choice) lacksHomeRegion(pl *Placer) bool {
	return ch.rq.RegionBound && len(ch.members) == 0 && len(pl.pools[ch.rq.Pool]) > 0
}
