package crash_test

import (
	"encoding/binary"
	"runtime"
	"testing"

	"almondrill/core"
	"almondrill/core/crash"
)

// Guards against callers that fill a router's memory with parts that they invent: each crash makes hundreds of
// suspects here, for as long as any are kept.
func TestInventedPartsAreBounded(t *testing.T) {
	const crashes, partsPerCrash, bound = 1000, 16 * 16, 2 << 20
	heap := func() uint64 {
		var ms runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&ms)
		return ms.HeapAlloc
	}
	before := heap()
	ta := &crash.Table{}
	for ix := range crashes {
		parts := make([]core.Fingerprint, partsPerCrash)
		for part := range parts {
			parts[part] = crash.PartFingerprint(uint64(ix)<<16 | uint64(part))
		}
		ta.EndpointCrashed(after(10*ix), uint64(ix), parts)
	}
	held := heap() - before
	quarantined, suspected := ta.Len()
	if held > bound || quarantined > 0 {
		t.Errorf("%d bytes for %d suspects, %d quarantined; want at most %d bytes", held, suspected, quarantined, bound)
	}
	t.Logf("%d bytes for %d suspects after %d of them", held, suspected, crashes*partsPerCrash)
	runtime.KeepAlive(ta)
}

// BenchmarkCheck measures what each attempt costs while a part is quarantined: a prompt of two shared parts.
func BenchmarkCheck(b *testing.B) {
	ta := &crash.Table{}
	crashThreeEndpoints(ta, crash.PartFingerprint(1))
	var fp core.Fingerprint
	for ix := range b.N {
		binary.BigEndian.PutUint64(fp[:], uint64(ix))
		ta.Check(after(3000), fp, crash.PartFingerprint(2), crash.PartFingerprint(3))
	}
}
