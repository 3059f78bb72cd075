package crowd

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// datagramPause is a client's pause between two datagrams, and datagramsPerSocket how many it sends from one port.
	datagramPause      = time.Millisecond
	datagramsPerSocket = 10
)

// PlayDatagrams lets count clients send datagrams to an address until ctx ends, from ports that change. next returns
// the next datagram of a client; it is called by one goroutine for each. PlayDatagrams calls measure periodically.
func PlayDatagrams(ctx context.Context, count int, addr string, next func(client int) []byte, measure func()) {
	var clients sync.WaitGroup
	for ix := range count {
		clients.Go(func() {
			for ctx.Err() == nil {
				sendDatagrams(ctx, addr, func() []byte { return next(ix) })
			}
		})
	}
	for ctx.Err() == nil {
		measure()
		time.Sleep(measureInterval)
	}
	clients.Wait()
}

func sendDatagrams(ctx context.Context, addr string, next func() []byte) {
	co, err := net.Dial("udp", addr)
	if err != nil {
		time.Sleep(redialInterval)
		return
	}
	defer co.Close()
	for range datagramsPerSocket {
		if ctx.Err() != nil {
			return
		}
		_, _ = co.Write(next()) // fails while nothing listens there
		time.Sleep(datagramPause)
	}
}
