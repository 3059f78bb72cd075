package events_test

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"almondrill/io/events"
)

// The ends of events must not depend on how a stream is split, nor on its line ends.
func TestScanIsIndependentOfParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(rt, "lineEnd")
		blocks := rapid.SliceOfN(rapid.SampledFrom([]string{"id: 1\ndata: a\n\n", ": ping\n\n", ":\ndata\n\n", "\n", "data: id:\n\n"}), 1, 8).Draw(rt, "blocks")
		open := rapid.SampledFrom([]string{"", ": pi", ": ping\n", "d", "data: a\n", ": ping\nid"}).Draw(rt, "open")
		text := strings.ReplaceAll(strings.Join(blocks, ""), "\n", lineEnd)
		all := []byte(text + strings.ReplaceAll(open, "\n", lineEnd))
		want := 0
		for _, block := range blocks {
			if !strings.HasPrefix(block, ": ping") && block != "\n" {
				want++
			}
		}
		var sc events.Scanner
		ended, count := 0, 0
		for from := 0; from < len(all); {
			to := rapid.IntRange(from+1, len(all)).Draw(rt, "to")
			end, more := sc.Scan(all[from:to])
			if end > 0 {
				ended = from + end
			}
			count += more
			from = to
		}
		if ended != len(text) || count != want || events.Count(all) != want {
			rt.Fatalf("%q: %d events up to %d, want %d up to %d", all, count, ended, want, len(text))
		}
		if wantOpen := open != "" && open != ": pi" && open != ": ping\n"; sc.Open() != wantOpen {
			rt.Fatalf("%q: open %t, want %t", all, sc.Open(), wantOpen)
		}
		var joined []byte
		for rest := all; len(rest) > 0; {
			var block []byte
			block, rest = events.Cut(rest)
			joined = append(joined, block...)
		}
		if !bytes.Equal(joined, all) {
			rt.Fatalf("cut into %q, want %q", joined, all)
		}
	})
}

func TestLastID(t *testing.T) {
	for text, want := range map[string]string{
		"id: 4\ndata: id: 7\n\n": "4", "id: 4\r\rid:5\r\r": "5", "data: x\n\n": "", "id: 9": "9", "": "", "mid: 3\n\n": "",
	} {
		if got := events.LastID([]byte(text)); got != want {
			t.Errorf("%q: id %q, want %q", text, got, want)
		}
	}
}
