// Package crowd plays clients that do not keep to the protocol, and measures what a process holds
// meanwhile.
//
// # Concepts
//
// Play keeps a fixed number of clients connected to an address. A Gauge measures a process from
// outside: its resident memory, the bytes that its sockets hold unread, and its descriptors.
//
// # Usage
//
//	ga := &crowd.Gauge{PID: cmd.Process.Pid, IP: ip}
//	crowd.Play(ctx, 100, addr, crowd.Endless(head, "x"), ga.Measure)
//	if ga.Memory > limit { ... }
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client is what one client does on a connection. The connection is closed when it returns.
type Client func(ctx context.Context, co net.Conn)

const (
	dialTimeout     = time.Second
	redialInterval  = 50 * time.Millisecond
	measureInterval = 20 * time.Millisecond
)

// Play keeps count clients connected until ctx ends: whoever is disconnected connects again. It calls
// measure periodically.
func Play(ctx context.Context, count int, addr string, cl Client, measure func()) {
	var clients sync.WaitGroup
	for range count {
		clients.Go(func() {
			for ctx.Err() == nil {
				playOnce(ctx, addr, cl)
				time.Sleep(redialInterval)
			}
		})
	}
	for ctx.Err() == nil {
		measure()
		time.Sleep(measureInterval)
	}
	clients.Wait()
}

func playOnce(ctx context.Context, addr string, cl Client) {
	di := net.Dialer{Timeout: dialTimeout}
	co, err := di.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer co.Close()
	defer context.AfterFunc(ctx, func() { _ = co.Close() })()
	cl(ctx, co)
}

// Silent is a client that sends nothing.
func Silent(_ context.Context, co net.Conn) { hold(co) }

// Once returns a client that sends a text and then holds its connection.
func Once(text string) Client {
	return func(_ context.Context, co net.Conn) {
		_, _ = io.WriteString(co, text)
		hold(co)
	}
}

// Endless returns a client that sends first and then repeats piece, and reads nothing.
func Endless(first, piece string) Client {
	return func(ctx context.Context, co net.Conn) {
		_, err := io.WriteString(co, first)
		for err == nil && ctx.Err() == nil {
			_, err = io.WriteString(co, piece)
		}
	}
}

// Deaf returns a client that sends a text and reads nothing.
func Deaf(text string) Client {
	return func(ctx context.Context, co net.Conn) {
		_, _ = io.WriteString(co, text)
		<-ctx.Done()
	}
}

// hold reads until the other side closes the connection.
func hold(co net.Conn) { _, _ = io.Copy(io.Discard, co) }

// Fields returns header lines with short, distinct names, of that size or a little more.
func Fields(size int) string {
	var out strings.Builder
	for ix := 0; out.Len() < size; ix++ {
		out.WriteString(strconv.FormatInt(int64(ix), 36) + "a:\r\n")
	}
	return out.String()
}

// Gauge measures what a process holds; the fields below IP are the most that Measure has seen.
type Gauge struct {
	PID int
	// IP is the address at which the process listens; only its sockets count.
	IP string

	// Resident is the process's resident memory in bytes, Memory adds what its sockets hold unread.
	Resident, Memory int
	Descriptors      int
}

// Measure updates the fields. It does nothing once the process has ended.
func (ga *Gauge) Measure() {
	dir := fmt.Sprintf("/proc/%d", ga.PID)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return
	}
	resident := 0
	for _, line := range strings.Split(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			resident = kb << 10
		}
	}
	ga.Resident = max(ga.Resident, resident)
	ga.Memory = max(ga.Memory, resident+unread(ga.IP))
	if entries, err := os.ReadDir(dir + "/fd"); err == nil {
		ga.Descriptors = max(ga.Descriptors, len(entries))
	}
}

func (ga *Gauge) String() string {
	return fmt.Sprintf("at most %d MB resident, %d MB with unread bytes, %d descriptors", ga.Resident>>20, ga.Memory>>20, ga.Descriptors)
}

const stateListen = "0A"

// unread returns the bytes that wait in the connections of a local address.
func unread(ip string) int {
	raw := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", raw[3], raw[2], raw[1], raw[0])
	table, _ := os.ReadFile("/proc/net/tcp")
	total := 0
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == stateListen {
			continue
		}
		if _, received, found := strings.Cut(fields[4], ":"); found {
			count, _ := strconv.ParseInt(received, 16, 64)
			total += int(count)
		}
	}
	return total
}
