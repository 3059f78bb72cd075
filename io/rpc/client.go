// Package rpc carries core.Peers over grpc: the client here, the server in
// server.go, the translation between core's types and the wire's in convert.go.
//
// # Concepts
//
// Connections are opened by the first call to a peer, closed by grpc when idle,
// and bounded in number: beyond MaxConns the one unused for longest is closed.
//
// # Invariants
//
//   - NotRun is only returned where the call cannot have reached the agent's
//     handler: the stream could not be opened, so its one request message was
//     never handed to the transport.
//   - A connection is not closed while a call uses it.
//
// # Usage
//
//	cl := &rpc.Client{Addr: addrOf, MaxConns: 256}
//	report, err := cl.Serve(ctx, vm, call, sink)
package rpc

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"almondrill/core"
	"almondrill/io/wire"
)

const (
	idleTimeout = 60 * time.Second
	// keepaliveInterval finds a peer that vanished without closing its connection:
	// the call would otherwise hang until its deadline.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	connectTimeout    = time.Second
	// maxMessage is above the largest request body that a router takes.
	maxMessage = 16 << 20
	bufferSize = 8 << 10
)

// connectBackoff are those between attempts to connect to a peer. Without them a router dials an
// agent that is gone some five thousand times a second. A peer that is back is found
// within the longest; until then calls fail at once and go elsewhere.
var connectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}

// Client reaches peers. Set the exported fields before use.
type Client struct {
	// Addr finds a VM's address, "" if it is unknown.
	Addr     func(vm core.VMID) string
	MaxConns int

	mu       sync.Mutex // guards all below
	conns    map[string]*conn
	useCount uint64
}

var _ core.Peers = (*Client)(nil)

type conn struct {
	grpc    *grpc.ClientConn
	addr    string
	inUse   int
	lastUse uint64
}

// OpenCount is the number of connections kept.
func (cl *Client) OpenCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.conns)
}

// Close closes all connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for addr, co := range cl.conns {
		_ = co.grpc.Close()
		delete(cl.conns, addr)
	}
}

func (cl *Client) acquire(vm core.VMID) (*conn, error) {
	addr := cl.Addr(vm)
	if addr == "" {
		return nil, oops.In("dial").With("peer", vm).Errorf("no address known")
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	co := cl.conns[addr]
	if co == nil {
		made, err := dial(addr)
		if err != nil {
			return nil, oops.In("dial").With("peer", vm).Wrap(err)
		}
		co = &conn{grpc: made, addr: addr}
		if cl.conns == nil {
			cl.conns = map[string]*conn{}
		}
		cl.conns[addr] = co
		cl.closeOldestIdle()
	}
	cl.useCount++
	co.lastUse = cl.useCount
	co.inUse++
	return co, nil
}

// closeOldestIdle closes the unused connection that was used least lately.
func (cl *Client) closeOldestIdle() {
	if cl.MaxConns <= 0 || len(cl.conns) <= cl.MaxConns {
		return
	}
	var oldest *conn
	for _, co := range cl.conns {
		if co.inUse == 0 && co.lastUse > 0 && (oldest == nil || co.lastUse < oldest.lastUse) {
			oldest = co
		}
	}
	if oldest != nil {
		delete(cl.conns, oldest.addr)
		_ = oldest.grpc.Close()
	}
}

func (cl *Client) release(co *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	co.inUse--
}

func dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		// A retry inside grpc would be an attempt that nobody counts.
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	)
}

// Serve runs a call on an agent.
func (cl *Client) Serve(ctx context.Context, to core.VMID, ca *core.Call, si core.Sink) (*core.Report, error) {
	co, err := cl.acquire(to)
	if err != nil {
		return nil, unreachable(to, err)
	}
	defer cl.release(co)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := co.grpc.NewStream(ctx, &wire.Node_ServiceDesc.Streams[0], wire.Node_Serve_FullMethodName)
	if err != nil {
		return nil, streamNotOpened(ctx, to)
	}
	if err = st.SendMsg(callToWire(ca, time.Now())); err == nil {
		err = st.CloseSend()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, peerLost(ctx, to, err)
	}
	return receive(ctx, st, to, si)
}

// receive passes the answer's parts on until its last message.
func receive(ctx context.Context, st grpc.ClientStream, to core.VMID, si core.Sink) (*core.Report, error) {
	var part wire.Part
	var pa core.Part
	for {
		if err := st.RecvMsg(&part); err != nil {
			return nil, peerLost(ctx, to, err)
		}
		// The last message has the report, and the last part if the answer is whole.
		last := part.Told != nil
		if !last || (part.End && part.Refused == nil) {
			partFromWire(&part, &pa)
			if err := si.Send(&pa); err != nil {
				return nil, callerGone(err)
			}
		}
		if last {
			return reportFromWire(part.Told), refusalFromWire(part.Refused)
		}
	}
}

func callerGone(err error) error {
	return &core.Refusal{
		Outcome: core.Unknown, Reason: core.ReasonCallerGone, Step: "send", Peer: "caller", Detail: err.Error(),
	}
}

// streamNotOpened tells why a stream could not be opened. The request message had not
// been handed over, so the call did not run.
func streamNotOpened(ctx context.Context, to core.VMID) error {
	// Callers read the detail: it names no address of the inside.
	re := unreachable(to, errNoConnection)
	if ctx.Err() != nil {
		re.Reason = contextReason(ctx)
	}
	return re
}

var errNoConnection = errors.New("the agent takes no connection")

func unreachable(to core.VMID, err error) *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: err.Error(),
		RetryAfter: time.Second,
	}
}

// peerLost tells of a call that broke off after the request was handed over: it may
// have run. An Unavailable on a connection that never came up is told apart by
// the caller having no open stream, see notOpened.
func peerLost(ctx context.Context, to core.VMID, err error) error {
	re := &core.Refusal{
		Outcome: core.Unknown, Reason: core.ReasonPeerLost, Step: "serve", Peer: string(to), Detail: err.Error(),
	}
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		re.Reason = contextReason(ctx)
	}
	return re
}

func contextReason(ctx context.Context) core.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return core.ReasonCallerGone
	}
	return core.ReasonDeadline
}

// callUnary calls one of the unary methods on a peer.
func callUnary[A, B any](ctx context.Context, cl *Client, to core.VMID, step string, call func(wire.NodeClient) (*A, error), convert func(*A) B) (B, error) {
	var zero B
	co, err := cl.acquire(to)
	if err != nil {
		return zero, err
	}
	defer cl.release(co)
	got, err := call(wire.NewNodeClient(co.grpc))
	if err != nil {
		return zero, oops.In(step).With("peer", to).Wrap(err)
	}
	return convert(got), nil
}

// controlTimeout bounds a control message's exchange; inspectTimeout is longer, as
// the agent asks its endpoints first.
const (
	controlTimeout = 2 * time.Second
	inspectTimeout = 4 * time.Second
)

// Exchange swaps digests.
func (cl *Client) Exchange(ctx context.Context, to core.VMID, di *core.Digest) (*core.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return callUnary(ctx, cl, to, "exchange", func(nc wire.NodeClient) (*wire.Digest, error) {
		return nc.Exchange(ctx, digestToWire(di))
	}, digestFromWire)
}

// Claim asks a keeper for a key.
func (cl *Client) Claim(ctx context.Context, to core.VMID, ask *core.Claim) (*core.ClaimReply, error) {
	return callUnary(ctx, cl, to, "claim", func(nc wire.NodeClient) (*wire.ClaimReply, error) {
		return nc.Claim(ctx, claimToWire(ask))
	}, claimReplyFromWire)
}

// Fetch asks a peer for the configuration after a revision.
func (cl *Client) Fetch(ctx context.Context, to core.VMID, since core.Revision) (*core.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return callUnary(ctx, cl, to, "fetch", func(nc wire.NodeClient) (*wire.FetchReply, error) {
		return nc.Fetch(ctx, &wire.FetchCall{Since: uint64(since)})
	}, changesFromWire)
}

// UpdatePlacements tells a chat's home where contexts are.
func (cl *Client) UpdatePlacements(ctx context.Context, to core.VMID, pls []core.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := callUnary(ctx, cl, to, "place", func(nc wire.NodeClient) (*wire.PlaceReply, error) {
		return nc.Place(ctx, placementsToWire(pls))
	}, func(re *wire.PlaceReply) *wire.PlaceReply { return re })
	return err
}

// NotifyCrash tells a router of a request that crashes endpoints.
func (cl *Client) NotifyCrash(ctx context.Context, to core.VMID, no *core.CrashNotice) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := callUnary(ctx, cl, to, "blame", func(nc wire.NodeClient) (*wire.BlameReply, error) {
		return nc.Blame(ctx, crashNoticeToWire(time.Now(), no))
	}, func(re *wire.BlameReply) *wire.BlameReply { return re })
	return err
}

// Order hands an agent an order. Without an answer it may have been taken.
func (cl *Client) Order(ctx context.Context, to core.VMID, or *core.Order) error {
	refused, err := callUnary(ctx, cl, to, "order", func(nc wire.NodeClient) (*wire.OrderReply, error) {
		return nc.Order(ctx, orderToWire(or))
	}, func(re *wire.OrderReply) error { return refusalFromWire(re.Refused) })
	if err != nil {
		return peerLost(ctx, to, err)
	}
	return refused
}

// Inspect asks an agent for the state of its endpoints.
func (cl *Client) Inspect(ctx context.Context, to core.VMID) ([]core.EndpointState, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return callUnary(ctx, cl, to, "inspect", func(nc wire.NodeClient) (*wire.InspectReply, error) {
		return nc.Inspect(ctx, &wire.InspectCall{})
	}, statesFromWire)
}

// State is the state of the connection to an address, for tests and figures.
func (cl *Client) State(vm core.VMID) connectivity.State {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if co := cl.conns[cl.Addr(vm)]; co != nil {
		return co.grpc.GetState()
	}
	return connectivity.Shutdown
}

// noDeadlineBudget stands for a call without a deadline.
const noDeadlineBudget = math.MaxInt64
