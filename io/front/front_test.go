package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ledger"
	"almondrill/io/clock"
	"almondrill/io/front"
	"almondrill/io/stats"
)

// Guards against refused requests that are never answered, and hold their connections for good, because the server waits
// for bodies that do not come.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	bo := &board.Board{Clock: clock.Wall{}, Rand: clock.NewRand(1), Self: core.VM{ID: "router"}}
	bo.Init()
	fr := &front.Front{
		Board: bo, Stats: stats.New(), Log: zap.NewNop(), Memory: &ledger.Ledger{}, MaxBody: 1 << 20, BodyTimeout: 300 * time.Millisecond,
	}
	server := httptest.NewServer(fr.Handler())
	defer server.Close()
	for _, target := range []string{"POST /v1/chat/completions", "POST /unknown", "GET /v1/models", "POST /v1/services/x/y"} {
		co, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(co, fmt.Sprintf("%s HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\npart", target))
		_ = co.SetReadDeadline(time.Now().Add(5 * time.Second))
		rs, err := http.ReadResponse(bufio.NewReader(co), nil)
		if err != nil || !rs.Close {
			t.Errorf("%s: %v, want a response that closes the connection", target, err)
		}
		_ = co.Close()
	}
}
