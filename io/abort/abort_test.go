package abort_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"almondrill/io/abort"
)

// A response is cut after its first bytes. The client must see an error at its end, whatever marks it.
func TestCutResponseIsNoWholeOne(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for name, hd := range map[string][2]string{
			"chunks": {}, "length": {"Content-Length", "100"}, "neither": {"Transfer-Encoding", "identity"},
		} {
			server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				if hd[0] != "" {
					wr.Header().Set(hd[0], hd[1])
				}
				_, _ = wr.Write([]byte("part"))
				_ = http.NewResponseController(wr).Flush()
				abort.Response(wr, rq)
			}))
			co, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			_ = co.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(co, "GET / "+proto+"\r\nHost: a\r\n\r\n")
			rs, err := http.ReadResponse(bufio.NewReader(co), nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, rerr := io.ReadAll(rs.Body); rerr == nil {
				t.Errorf("%s, %s: %q without an error", proto, name, body)
			}
			_ = co.Close()
			server.Close()
		}
	}
}
