// Package local gives tests loopback addresses that no other program uses.
//
// # Concepts
//
// A test may need the address of a server that is down or starts later. If it binds a port of
// 127.0.0.1 and releases it for that, another program may get the same port in the meantime: two
// tests then talk to each other, or one cannot bind. As "go test ./..." runs several test programs at
// once, each claims a /16 subnet of 127.0.0.0/8 for itself and never gives out an address twice.
//
// # Usage
//
//	li := local.Listen(t)       // listens until the test ends
//	addr := local.Addr(t)       // for something that is started later
//	addr := local.Respond(t, s) // a server that answers every request with the text s
//	ip := local.IP(t)           // for a program that listens on several ports
package local

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
)

const (
	// port is used with all addresses; it is below the kernel's ephemeral ports.
	port = 20080
	// firstSubnet and lastSubnet bound the second byte of the subnets that are claimed.
	// 127.0.0.0/16 and 127.1.0.0/16 are left to other programs.
	firstSubnet = 2
	lastSubnet  = 254
	// subnetSize is the number of addresses given out of a subnet. Those with a third byte of 0 are
	// left out, as one of them holds the claim.
	subnetSize = 254 * 254
)

var (
	mu sync.Mutex // guards all below
	// claim is a listener that stays open until the program ends, so that no other program claims
	// the same subnet.
	claim     net.Listener
	subnet    int
	allocated int
)

// IP returns an address without a port that this program has not given out before.
func IP(tb testing.TB) string {
	tb.Helper()
	mu.Lock()
	defer mu.Unlock()
	if claim == nil && !claimSubnet() {
		tb.Fatal("every /16 subnet of 127.0.0.0/8 is claimed by another program")
	}
	if allocated == subnetSize {
		tb.Fatal("all addresses of this program's subnet of 127.0.0.0/8 are in use")
	}
	ip := fmt.Sprintf("127.%d.%d.%d", subnet, 1+allocated/254, 1+allocated%254)
	allocated++
	return ip
}

// claimSubnet claims the first free subnet. The search starts at one that depends on the process
// id.
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

// Listen listens on a new address until the test ends.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	li, err := net.Listen("tcp", Addr(tb))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = li.Close() })
	return li
}

// Serve listens on an address of its own until the test ends, and calls serve for each connection, which is closed
// afterwards. It returns the address.
func Serve(tb testing.TB, serve func(co *net.TCPConn)) string {
	tb.Helper()
	li := Listen(tb)
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				defer co.Close()
				serve(co.(*net.TCPConn))
			}()
		}
	}()
	return li.Addr().String()
}

// Respond is Serve with one request on each connection, whose response is text.
func Respond(tb testing.TB, text string) string {
	tb.Helper()
	return Serve(tb, func(co *net.TCPConn) {
		if rq, err := http.ReadRequest(bufio.NewReader(co)); err == nil {
			_, _ = io.Copy(io.Discard, rq.Body)
			_, _ = io.WriteString(co, text) // fails only if the client has closed the connection
		}
	})
}
