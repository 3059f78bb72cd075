// Package vmnet implements core.VMList over HTTP, as the fake of the platform's list serves it. A
// deployment on another platform replaces this package by its own client.
//
// # Usage
//
//	li := &vmnet.Client{Addr: "127.0.0.1:7002"}
//	http.Handle("/vms", vmnet.Handler(list))
package vmnet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"

	"almondrill/core"
	"almondrill/io/strict"
)

type changesReply struct {
	Mark uint64
	VMs  []core.VM
}

const (
	requestTimeout = 3 * time.Second
	// maxReply bounds the list in bytes; thousands of VMs need some hundred each.
	maxReply = 16 << 20
	// idleTimeout is how long a connection to the server is kept that is not used.
	idleTimeout = 90 * time.Second
)

var client = &http.Client{Transport: &strict.Transport{Base: &http.Transport{
	DialContext: strict.WatchConns(new(net.Dialer).DialContext), IdleConnTimeout: idleTimeout,
}}}

// Client reads the list from the server at Addr.
type Client struct {
	Addr string
}

var _ core.VMList = (*Client)(nil)

// Changes returns the changes after mark, and the mark to continue from.
func (cl *Client) Changes(ctx context.Context, mark uint64) ([]core.VM, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	oo := oops.In("list vms").With("peer", cl.Addr)
	url := "http://" + cl.Addr + "/vms?after=" + strconv.FormatUint(mark, 10)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, mark, oo.Wrap(err)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return nil, mark, oo.Wrap(err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return nil, mark, oo.Errorf("status %s", rs.Status)
	}
	var reply changesReply
	if err = json.NewDecoder(io.LimitReader(rs.Body, maxReply)).Decode(&reply); err != nil {
		return nil, mark, oo.Wrap(err)
	}
	return reply.VMs, reply.Mark, nil
}

// Handler returns a handler that serves a list to Client.
func Handler(li core.VMList) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		mark, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(wr, "after: not a number", http.StatusBadRequest)
			return
		}
		vms, next, err := li.Changes(rq.Context(), mark)
		if err != nil {
			http.Error(wr, err.Error(), http.StatusServiceUnavailable)
			return
		}
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(changesReply{Mark: next, VMs: vms})
	})
}
