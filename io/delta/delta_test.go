package delta_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"almondrill/io/delta"
)

// testDocument has many similar lines, each with a random-looking key that does not compress.
func testDocument(lines int, change int) []byte {
	var out bytes.Buffer
	for ix := range lines {
		seed := uint64(ix)
		if ix == change {
			seed += 1 << 40
		}
		seed *= 0x9e3779b97f4a7c15
		fmt.Fprintf(&out, `{"Name":"customer-%d","ApiKeys":["%016x%016x"],"Priority":%d}`+"\n", ix, seed, seed*seed, ix%4)
	}
	return out.Bytes()
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "base")
		data := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "data")
		if rapid.Bool().Draw(t, "alike") {
			data = append(append([]byte{}, base...), data...)
		}
		packed, err := delta.Pack(data, base)
		if err != nil {
			t.Fatal(err)
		}
		out, err := delta.Unpack(packed, base, 1<<20)
		if err != nil || !bytes.Equal(out, data) {
			t.Fatalf("unpacked %d bytes, packed %d: %v", len(out), len(data), err)
		}
	})
}

// An operator changes one line of a configuration of 1,600 customers. Sent in full to 420 routers,
// several thousand times a day, it would use up their bandwidth for control traffic.
func TestOneLineChangePacksSmall(t *testing.T) {
	base, data := testDocument(1600, -1), testDocument(1600, 800)
	packed, err := delta.Pack(data, base)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes for a change of %d", len(packed), len(data))
	if len(packed) > 1000 {
		t.Errorf("%d bytes for one changed line of %d bytes, want at most 1,000", len(packed), len(data))
	}
}

// A peer that packs against a version that this router does not have, or sends invalid data, must
// cause an error and not a wrong configuration.
func TestWrongBaseIsAnError(t *testing.T) {
	base, data := testDocument(200, -1), testDocument(200, 100)
	packed, err := delta.Pack(data, base)
	if err != nil {
		t.Fatal(err)
	}
	for name, other := range map[string][]byte{"none": nil, "another": []byte(strings.Repeat("x", len(base)))} {
		if out, err := delta.Unpack(packed, other, 1<<20); err == nil && bytes.Equal(out, data) {
			t.Errorf("%s base: unpacked without it", name)
		} else if err == nil {
			t.Errorf("%s base: wrong data, and no error", name)
		}
	}
	if _, err = delta.Unpack([]byte("nonsense"), base, 1<<20); err == nil {
		t.Error("invalid data was unpacked")
	}
}

func TestUnpackedSizeIsBounded(t *testing.T) {
	packed, err := delta.Pack(make([]byte, 1<<20), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = delta.Unpack(packed, nil, 1<<16); err == nil {
		t.Error("unpacked 1 MiB with a limit of 64 KiB")
	}
}

func FuzzUnpack(f *testing.F) {
	base := testDocument(20, -1)
	packed, _ := delta.Pack(testDocument(20, 3), base)
	f.Add(packed)
	f.Fuzz(func(t *testing.T, data []byte) {
		if out, err := delta.Unpack(data, base, 1<<16); err == nil && len(out) > 1<<16 {
			t.Errorf("unpacked %d bytes, above the limit", len(out))
		}
	})
}

func BenchmarkPack(b *testing.B) {
	base, data := testDocument(1600, -1), testDocument(1600, 800)
	b.ReportAllocs()
	for b.Loop() {
		packed, err := delta.Pack(data, base)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed)), "B/change")
	}
}
