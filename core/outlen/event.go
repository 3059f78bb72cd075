package outlen

import "almondrill/core"

// eventSize is the number of tokens in an event of a pool's engines, as learned.
type eventSize struct {
	// fromMax is the smallest recent ratio of maximum to events, 0 if none is known. fromHint is
	// the mean ratio of hint to events.
	fromMax  float64
	fromHint ratio
}

const (
	// minSizedEvents is how many events a response must have to be measured: the last event may
	// hold fewer tokens than the others, so that short responses give too small a figure.
	minSizedEvents = 8
	// sizeDrift is by how much each response raises the figure, so that a change of the engines'
	// event size is followed within some hundred responses.
	sizeDrift = 1.0005
	// sizeStep bounds how much one response lowers the size: a caller may state a wrong maximum.
	sizeStep = 1.0 / 2
	// unknownSize is the number of tokens of an event if callers state neither maximum nor hint.
	unknownSize = 1.0
)

func (es *Estimator) poolOf(pool core.PoolID) *eventSize {
	if es.pools == nil {
		es.pools = map[core.PoolID]*eventSize{}
	}
	si := es.pools[pool]
	if si == nil {
		si = &eventSize{}
		if len(es.pools) < maxRoutes {
			es.pools[pool] = si
		}
	}
	return si
}

// record learns from a complete response.
func (si *eventSize) record(rq Request, events int) {
	if events < minSizedEvents {
		return
	}
	if rq.Hint > 0 {
		si.fromHint.record(float64(rq.Hint) / float64(events))
	}
	if rq.Max <= 0 {
		return
	}
	size := float64(rq.Max) / float64(events)
	switch {
	case size < unknownSize: // the response is longer than its stated maximum
		return
	case si.fromMax == 0:
		si.fromMax = size
		return
	case size < si.fromMax*sizeDrift:
		si.fromMax += (size - si.fromMax) * sizeStep
		return
	}
	si.fromMax *= sizeDrift
}

func (si *eventSize) tokens() float64 {
	switch {
	case si.fromMax > 0:
		return max(unknownSize, si.fromMax)
	case si.fromHint.count > 0:
		return max(unknownSize, si.fromHint.mean)
	}
	return unknownSize
}
