// Package local gives tests addresses on loopback that no other program uses.
//
// # Concepts
//
// A program that binds a port of 127.0.0.1 and lets go of it, to use it later or to play
// a server that is down, may see another program get it meanwhile: two tests then talk to
// each other, or cannot bind. The programs of "go test ./..." run beside each other, so
// each claims a part of 127.0.0.0/8 of its own and never gives an address out twice.
//
// # Usage
//
//	li := local.Listen(t)       // listens until the test ends
//	addr := local.Addr(t)       // for something that is started later
//	ip := local.IP(t)           // for a program that listens on several ports
package local

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

const (
	// port is that of all addresses; it is below those that the kernel gives out.
	port = 20080
	// firstSubnet and lastNet bound the second byte of the parts that are claimed; 127.0
	// and 127.1 are left to others.
	firstSubnet = 2
	lastSubnet  = 254
	// subnetSize is how many a part has, without those that begin with 0, of which one
	// is the claim.
	subnetSize = 254 * 254
)

var (
	mu sync.Mutex // guards all below
	// claim is held until the program ends, so that its part stays its own.
	claim     net.Listener
	subnet    int
	allocated int
)

// IP returns an address without a port that this program has not given out yet.
func IP(tb testing.TB) string {
	tb.Helper()
	mu.Lock()
	defer mu.Unlock()
	if claim == nil && !claimSubnet() {
		tb.Fatal("every part of 127.0.0.0/8 is claimed by another test")
	}
	if allocated == subnetSize {
		tb.Fatal("all addresses of this test's part of 127.0.0.0/8 were given out")
	}
	ip := fmt.Sprintf("127.%d.%d.%d", subnet, 1+allocated/254, 1+allocated%254)
	allocated++
	return ip
}

// claimSubnet claims the first part that is free, from one that differs by process.
func claimSubnet() bool {
	const subnets = lastSubnet - firstSubnet + 1
	for ix := range subnets {
		subnet = firstSubnet + (os.Getpid()+ix)%subnets
		li, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", subnet, port))
		if err == nil {
			claim = li
			return true
		}
	}
	return false
}

// Addr returns an address with a port that nothing listens on.
func Addr(tb testing.TB) string {
	tb.Helper()
	return fmt.Sprintf("%s:%d", IP(tb), port)
}

// Listen listens on an address of its own until the test ends.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	li, err := net.Listen("tcp", Addr(tb))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = li.Close() })
	return li
}
