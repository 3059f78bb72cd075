package gossip_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"almondrill/core"
	"almondrill/io/fakes/local"
	"almondrill/io/gossip"
)

// Guards against responses of peers that are not HTTP or not whole, and whose items routers apply.
func TestBrokenResponsesOfPeersAreErrors(t *testing.T) {
	ro := start(t, 0)
	ro.Mirror.Replace([]core.Item{{Key: "doc", Rev: 2, Value: []byte("value")}}, 2)
	rs, err := http.Get("http://" + ro.Addr + gossip.ItemsPath + "?After=0&Key=&Rev=0")
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Body.Close()
	items, err := io.ReadAll(rs.Body)
	if err != nil {
		t.Fatal(err)
	}
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(items), items)
	for name, tc := range map[string]struct {
		text  string
		whole bool
	}{
		"whole":                    {"HTTP/1.1 200 OK\r\n" + framed, true},
		"without framing":          {"HTTP/1.1 200 OK\r\n\r\n" + string(items), true},
		"blank in a name":          {"HTTP/1.1 200 OK\r\nX A: 1\r\n" + framed, false},
		"version 2.0":              {"HTTP/2.0 200 OK\r\n" + framed, false},
		"status 000":               {"HTTP/1.1 000 X\r\n" + framed, false},
		"blank in an interim head": {"HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + framed, false},
		"cut, without framing":     {"HTTP/1.1 200 OK\r\n\r\n" + string(items[:len(items)-1]), false},
		"no byte of a body":        {"HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		addr := local.Respond(t, tc.text)
		count, err := gossip.FetchItems(t.Context(), addr)
		if (err == nil) != tc.whole || tc.whole && count != 1 {
			t.Errorf("%s: %d items, error %v", name, count, err)
		}
	}
}
