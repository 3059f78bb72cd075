package accept_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"almondrill/io/accept"
)

// FuzzHead checks that a head has the same size and cost however it is divided on its way, that both are bounded by
// what has arrived, and that the counter and net/http agree where a request's head ends.
func FuzzHead(fu *testing.F) {
	for _, seed := range []string{
		get, "GET / HTTP/1.1\nHost: a\n\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n  c\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n \r\n\r\n", "\n\n\n\n", "GET / HTTP/1.1\r\r\n\r\n", get + get,
	} {
		fu.Add([]byte(seed), uint8(3))
	}
	fu.Fuzz(func(t *testing.T, data []byte, step uint8) {
		size, ended, cost := accept.CountHead([][]byte{data})
		var pieces [][]byte
		for rest := data; len(rest) > 0; {
			cut := min(len(rest), 1+int(step))
			pieces = append(pieces, rest[:cut])
			rest = rest[cut:]
		}
		dividedSize, dividedEnded, dividedCost := accept.CountHead(pieces)
		if size != dividedSize || ended != dividedEnded {
			t.Errorf("size %d, ended %t at once; %d, %t in pieces", size, ended, dividedSize, dividedEnded)
		}
		if size > int64(len(data)) || cost > 300*int64(len(data)) || dividedCost < cost || !ended && size != int64(len(data)) {
			t.Errorf("size %d, cost %d and %d, ended %t of %d bytes", size, cost, dividedCost, ended, len(data))
		}
		rd := bufio.NewReaderSize(bytes.NewReader(data), max(16, len(data)+1))
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if read := int64(len(data) - rd.Buffered()); rq.Body == http.NoBody && (!ended || size != read) {
			t.Errorf("net/http has read %d bytes of the head, %d were counted, ended %t", read, size, ended)
		}
	})
}
