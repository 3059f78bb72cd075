package demo_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"almondrill/io/demo"
	"almondrill/io/fakes/plain"
)

// A service answers without length and chunks, behind an agent. The caller must get the whole answer, and
// without framing, since nothing says that it is whole; so must the repetition of a call with a key, which
// gets the recorded answer.
func TestUnframedAnswerBehindAnAgent(t *testing.T) {
	fl := startFleet(t)
	for _, se := range fl.FakeServices {
		se.SetFaults(plain.Faults{Unframed: true})
	}
	for _, key := range []string{"", "k-1", "k-1"} {
		rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+router(fl).CallersAddr()+"/v1/services/"+demo.Lookups+"/entry/x", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		rq.Header.Set("Authorization", "Bearer "+demo.Key)
		if key != "" {
			rq.Header.Set("Idempotency-Key", key)
		}
		rs, err := http.DefaultTransport.RoundTrip(rq)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(rs.Body)
		_ = rs.Body.Close()
		if err != nil || rs.StatusCode != http.StatusOK || !strings.Contains(string(body), `"Body":"b"`) {
			t.Errorf("key %q: status %d, %q, error %v", key, rs.StatusCode, body, err)
		}
		if rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0 {
			t.Errorf("key %q: length %d, encoding %v; want neither", key, rs.ContentLength, rs.TransferEncoding)
		}
	}
	calls := 0
	for _, se := range fl.FakeServices {
		calls += se.CallCount()
	}
	if calls != 2 {
		t.Errorf("%d calls ran, want 2: one without a key, one for the key", calls)
	}
}
