package local_test

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"almondrill/io/fakes/local"
)

// Two test programs run at the same time and take addresses for servers that are not up yet. If
// both got the same address, requests of one would reach the other.
func TestProgramsGetDifferentAddresses(t *testing.T) {
	if os.Getenv("PRINT_ADDRESS") != "" {
		t.Log("got", local.Addr(t))
		return
	}
	own := local.Addr(t)
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), "PRINT_ADDRESS=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	subnet := strings.Join(strings.Split(own, ".")[:2], ".") + "."
	if !strings.Contains(string(out), "got 127.") || strings.Contains(string(out), "got "+subnet) {
		t.Errorf("another program got an address in the subnet of %s: %s", own, out)
	}
}

func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		addr := local.Addr(t)
		if seen[addr] {
			t.Fatal("given twice:", addr)
		}
		seen[addr] = true
	}
	li := local.Listen(t)
	co, err := net.Dial("tcp", li.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = co.Close()
}
