package back_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"almondrill/core"
	"almondrill/io/back"
)

// The engine refuses the connection. The refusal says that the chat was not executed and when to
// retry, and its detail, which callers see, contains no internal address.
func TestUnreachableEngineHidesItsAddress(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	ep := &back.Endpoint{ID: "engine", URL: server.URL, Engine: true}
	_, err := ep.Do(context.Background(), &core.Call{Method: http.MethodPost, Path: "/v1/chat/completions"}, nil)
	re := core.AsRefusal(err, "", "")
	if re.Outcome != core.NotRun || re.Reason != core.ReasonEndpointDown || re.RetryAfter == 0 {
		t.Errorf("%v", re)
	}
	if strings.Contains(re.Detail, "127.0.0.1") {
		t.Errorf("the caller reads %q", re.Detail)
	}
}
