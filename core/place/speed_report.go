package place

import (
	"cmp"
	"slices"
	"time"

	"almondrill/core"
)

// Routers forward the latest figures of slow endpoints to each other, so that one that has no calls
// at an endpoint knows its speed. An entry has the two bytes of the endpoint's short hash, its factor
// in eighths, and the age of the figure in units of speedAgeUnit. The highest bit of the age marks a
// factor that was learned from streams: routers of builds that do not learn consider it too old.

const (
	speedEntrySize = 4
	// maxSpeedEntries bounds the entries in a message, and with them its size.
	maxSpeedEntries = 16
	factorSteps     = 8
	speedAgeUnit    = 20 * time.Millisecond
	learnedBit      = 1 << 7
	// recoveredWindow is how long it is forwarded that an endpoint is back at its usual speed: some
	// reports to each of a dozen peers.
	recoveredWindow = 2 * time.Second
)

// Speeds encodes the latest figures of endpoints that are slower than usual or were until recently,
// the newest first.
func (pl *Placer) Speeds(now time.Time) []byte {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	newest := make([]*state, 0, maxSpeedEntries+1)
	for _, st := range pl.byID {
		if now.Sub(st.speed.slowAt) > recoveredWindow || now.Sub(st.speed.at) > speedTTL {
			continue
		}
		at := len(newest)
		for at > 0 && newerFigure(st, newest[at-1]) {
			at--
		}
		if at < maxSpeedEntries {
			newest = slices.Insert(newest, at, st)
			newest = newest[:min(len(newest), maxSpeedEntries)]
		}
	}
	var packed []byte
	for _, st := range newest {
		hash := shortHash(st.hash)
		// The age is rounded up: rounded down, a figure would become newer each time that routers
		// forward it to each other, and never expire.
		age := max(0, now.Sub(st.speed.at)+speedAgeUnit-1) / speedAgeUnit
		if st.speed.learned {
			age |= learnedBit
		}
		packed = append(packed, byte(hash>>8), byte(hash), byte(st.speed.factor*factorSteps+0.5), byte(age))
	}
	return packed
}

// newerFigure orders endpoints by the age of their figures, and those with equal ages by their IDs.
func newerFigure(a, b *state) bool {
	if order := a.speed.at.Compare(b.speed.at); order != 0 {
		return order > 0
	}
	return a.ID < b.ID
}

// SpeedsWithin returns the part of encoded figures that are not older than the given age.
func SpeedsWithin(packed []byte, age time.Duration) []byte {
	count := 0
	for count+speedEntrySize <= len(packed) && entryAge(packed[count:])-speedAgeUnit <= age {
		count += speedEntrySize
	}
	return packed[:count]
}

func entryAge(entry []byte) time.Duration {
	return time.Duration(entry[speedEntrySize-1]&^learnedBit) * speedAgeUnit
}

// ApplySpeeds records the figures that a peer forwarded. transit is the minimum transit delay of the
// message. Figures that are too old, and those of endpoints whose short hashes are equal, are
// ignored.
func (pl *Placer) ApplySpeeds(now time.Time, transit time.Duration, packed []byte) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	packed = packed[:min(len(packed), maxSpeedEntries*speedEntrySize)]
	for ; len(packed) >= speedEntrySize; packed = packed[speedEntrySize:] {
		age, learned := entryAge(packed)+transit, packed[3]&learnedBit != 0
		named := pl.byShortHash[uint16(packed[0])<<8|uint16(packed[1])]
		if age > speedTTL || len(named) != 1 || learned && pl.reportsSpeed(named[0].Pool) {
			continue
		}
		named[0].updateSpeed(now.Add(-age), float64(packed[2])/factorSteps, learned)
	}
}

// SlowEndpoint is an endpoint that the router assumes to be slower than usual, for operators.
type SlowEndpoint struct {
	ID core.EndpointID
	// Slowness is the latest factor, Ahead the one assumed over the duration of a call.
	Slowness, Ahead float64
	// Since is when it was first known to be slow, At the time of the latest figure.
	Since, At time.Time
	// Learned is set if the factor was learned from routers' streams, not reported by the endpoint.
	Learned bool
}

// SlowEndpoints returns the endpoints that are assumed to be slower than usual, by their IDs.
func (pl *Placer) SlowEndpoints(now time.Time) []SlowEndpoint {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var slow []SlowEndpoint
	for _, st := range pl.byID {
		current, ahead := st.speed.current(now), st.speed.ahead(now)
		if current > 1 || ahead > 1 {
			slow = append(slow, SlowEndpoint{st.ID, current, ahead, st.speed.slowSince, st.speed.at, st.speed.learned})
		}
	}
	slices.SortFunc(slow, func(a, b SlowEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return slow
}
