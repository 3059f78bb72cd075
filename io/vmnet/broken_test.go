package vmnet_test

import (
	"fmt"
	"testing"

	"almondrill/io/fakes/local"
	"almondrill/io/vmnet"
)

// Guards against lists of VMs that are not HTTP or not whole, and that agents and routers apply.
func TestBrokenListsAreErrors(t *testing.T) {
	const list = `{"VMs":[],"Mark":9}`
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(list), list)
	for name, tc := range map[string]struct {
		text  string
		whole bool
	}{
		"whole":                {"HTTP/1.1 200 OK\r\n" + framed, true},
		"blank in a name":      {"HTTP/1.1 200 OK\r\nX A: 1\r\n" + framed, false},
		"version 2.0":          {"HTTP/2.0 200 OK\r\n" + framed, false},
		"status 000":           {"HTTP/1.1 000 X\r\n" + framed, false},
		"cut, without framing": {"HTTP/1.1 200 OK\r\n\r\n" + list[:len(list)-1], false},
	} {
		addr := local.Respond(t, tc.text)
		_, mark, err := (&vmnet.Client{Addr: addr}).Changes(t.Context(), 3)
		if (err == nil) != tc.whole || tc.whole && mark != 9 {
			t.Errorf("%s: mark %d, error %v", name, mark, err)
		}
	}
}
