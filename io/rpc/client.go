// Package rpc implements core.Peers over gRPC. The client is in this file, the server in server.go,
// and the conversion between core's types and wire messages in convert.go.
//
// # Concepts
//
// The first call to a peer opens a connection. gRPC closes idle connections, and beyond MaxConns the
// least recently used connection without calls is closed.
//
// # Invariants
//
//   - The outcome NotRun is returned only if the call cannot have reached the agent's handler: the
//     stream could not be opened, so its only request message never went to the transport.
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
	// keepaliveInterval is the time between keepalive pings. They detect a peer that vanished without
	// closing its connection; the call would otherwise hang until its deadline.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	connectTimeout    = time.Second
	// maxMessage is the message size limit. It is above the largest request body that routers accept.
	maxMessage = 16 << 20
	bufferSize = 8 << 10
)

// connectBackoff configures the delays between attempts to connect to a peer. Without them a router
// would dial an agent that is gone some 5,000 times a second. A peer that returns is reached within
// MaxDelay; until then calls to it fail at once and are sent elsewhere.
var connectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}

// Client calls peers. Set the exported fields before use.
type Client struct {
	// Addr returns a VM's address, or "" if it is unknown.
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

// OpenCount returns the number of open connections.
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

// closeOldestIdle closes the least recently used connection without calls, if there are too many
// connections.
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
		// Retries inside gRPC would bypass the retry budget and the attempt IDs.
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	)
}

// Serve runs a call on an agent and sends the response to si.
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

// receive forwards the parts of the response until the last message.
func receive(ctx context.Context, st grpc.ClientStream, to core.VMID, si core.Sink) (*core.Report, error) {
	var part wire.Part
	var pa core.Part
	for {
		if err := st.RecvMsg(&part); err != nil {
			return nil, peerLost(ctx, to, err)
		}
		// The last message has the report and, if the response is complete, its last part.
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

// streamNotOpened returns the refusal for a stream that could not be opened. The request message
// was not sent, so the call did not run.
func streamNotOpened(ctx context.Context, to core.VMID) error {
	// Callers see the detail, so it must not contain internal addresses.
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

// peerLost returns the refusal for a call that was interrupted after its request was handed to the
// transport: it may have run. If the connection was never established, which gRPC also reports as
// Unavailable, opening the stream fails, and streamNotOpened applies instead.
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

// callUnary calls a unary method on a peer and converts its reply.
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

// controlTimeout limits a control call. inspectTimeout is longer, because the agent queries its
// endpoints before it replies.
const (
	controlTimeout = 2 * time.Second
	inspectTimeout = 4 * time.Second
)

// Exchange exchanges digests with a peer.
func (cl *Client) Exchange(ctx context.Context, to core.VMID, di *core.Digest) (*core.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return callUnary(ctx, cl, to, "exchange", func(nc wire.NodeClient) (*wire.Digest, error) {
		return nc.Exchange(ctx, digestToWire(di))
	}, digestFromWire)
}

// Claim asks the owner of a claim shard for an idempotency key.
func (cl *Client) Claim(ctx context.Context, to core.VMID, ask *core.Claim) (*core.ClaimReply, error) {
	return callUnary(ctx, cl, to, "claim", func(nc wire.NodeClient) (*wire.ClaimReply, error) {
		return nc.Claim(ctx, claimToWire(ask))
	}, claimReplyFromWire)
}

// Fetch returns the configuration changes after a revision from a peer.
func (cl *Client) Fetch(ctx context.Context, to core.VMID, since core.Revision) (*core.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return callUnary(ctx, cl, to, "fetch", func(nc wire.NodeClient) (*wire.FetchReply, error) {
		return nc.Fetch(ctx, &wire.FetchCall{Since: uint64(since)})
	}, changesFromWire)
}

// UpdatePlacements sends placements to the home of their chats.
func (cl *Client) UpdatePlacements(ctx context.Context, to core.VMID, pls []core.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := callUnary(ctx, cl, to, "place", func(nc wire.NodeClient) (*wire.PlaceReply, error) {
		return nc.Place(ctx, placementsToWire(pls))
	}, func(re *wire.PlaceReply) *wire.PlaceReply { return re })
	return err
}

// NotifyCrash sends a router a notice about a request that crashes endpoints.
func (cl *Client) NotifyCrash(ctx context.Context, to core.VMID, no *core.CrashNotice) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := callUnary(ctx, cl, to, "blame", func(nc wire.NodeClient) (*wire.BlameReply, error) {
		return nc.Blame(ctx, crashNoticeToWire(time.Now(), no))
	}, func(re *wire.BlameReply) *wire.BlameReply { return re })
	return err
}

// Order sends an order to an agent. If there is no reply, the agent may have accepted it.
func (cl *Client) Order(ctx context.Context, to core.VMID, or *core.Order) error {
	refused, err := callUnary(ctx, cl, to, "order", func(nc wire.NodeClient) (*wire.OrderReply, error) {
		return nc.Order(ctx, orderToWire(or))
	}, func(re *wire.OrderReply) error { return refusalFromWire(re.Refused) })
	if err != nil {
		return peerLost(ctx, to, err)
	}
	return refused
}

// Inspect returns the state of an agent's endpoints.
func (cl *Client) Inspect(ctx context.Context, to core.VMID) ([]core.EndpointState, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return callUnary(ctx, cl, to, "inspect", func(nc wire.NodeClient) (*wire.InspectReply, error) {
		return nc.Inspect(ctx, &wire.InspectCall{})
	}, statesFromWire)
}

// State returns the state of the connection to a VM, for tests and metrics.
func (cl *Client) State(vm core.VMID) connectivity.State {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if co := cl.conns[cl.Addr(vm)]; co != nil {
		return co.grpc.GetState()
	}
	return connectivity.Shutdown
}

// noDeadlineBudget is the wire value of BudgetMicros for a call without a deadline.
const noDeadlineBudget = math.MaxInt64
