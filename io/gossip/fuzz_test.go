package gossip_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core/builds"
	"almondrill/core/mirror"
	"almondrill/core/place"
	"almondrill/io/clock"
	"almondrill/io/gossip"
)

// No datagram, invalid or of another version, may crash a router: the peer would send it again at
// each start.
func FuzzHear(f *testing.F) {
	for _, body := range []any{
		map[int]any{1: 7, 2: []byte{1, 2, 3}, 5: []string{"127.0.0.1:1"}, 6: []any{[]any{1, 2, 3}}, 7: []byte{1, 2, 3, 4, 5, 6}},
		map[int]any{21: []byte{1, 2, 255, 0, 3}},
		map[int]any{10: []any{1, 7, 3, 9}},
		map[int]any{10: []any{4, 7, 0, 0}},
		map[int]any{10: []any{5, 7, 0, 0}},
		map[int]any{11: []any{1, make([]byte, 16), []any{[]any{7, 100}}}},
		map[int]any{11: []any{2, make([]byte, 16), []any{[]any{7, 1 << 31}}}},
		map[int]any{4: "r", 14: [][]byte{{127, 0, 0, 3, 1, 2}, {1}}, 18: []byte{1, 2, 3, 4, 0, 7, 9}},
		map[int]any{15: []any{1, nil, []byte{127, 0, 0, 3, 1, 2}}, 16: []any{[]any{[]byte{127, 0, 0, 3, 1, 2}, 3, 7}}, 17: 9},
		map[int]any{15: []any{3, []byte{127, 0, 0, 1, 0, 1}, nil}, 16: []any{[]any{[]byte{127, 0, 0, 1, 0, 1}, 9, 1 << 31}}},
		map[int]any{10: []any{2, 0, 0, 0}, 19: []any{7, 1, 2, 300, 200, 24, 30, 150, []any{[]any{9, 2, 300}}}},
		map[int]any{10: []any{2, 0, 0, 0}, 20: []any{[]any{7, 1 << 40, 30, 9000, 30, []any{[]any{9, 2, 100}}, true}, []any{7, 0, 0, 0, 0, nil, false}}},
	} {
		data, err := cbor.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x0a, 0xf6})
	f.Fuzz(func(_ *testing.T, data []byte) {
		fe := &fakeFeed{}
		fe.Confirm(0)
		gr := &gossip.Group{
			Builds: &builds.History{},
			Addr:   "127.0.0.1:1", Mirror: &mirror.Mirror{}, Feed: fe, Rand: clock.NewRand(1), Log: zap.NewNop(),
			Placer: &place.Placer{Rand: clock.NewRand(1), RouterCount: func() int { return 1 }},
		}
		gr.HandleDatagram(data)
		gr.HandleDatagram(data)
	})
}
