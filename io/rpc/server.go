package rpc

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"almondrill/core"
	"almondrill/io/wire"
)

// Server serves calls from peers. A method whose handler is nil returns Unimplemented. Set the
// exported fields before Start.
type Server struct {
	Listener net.Listener
	// StatsHandler, if set, is notified of connections, calls and messages.
	StatsHandler     stats.Handler
	Serve            func(ctx context.Context, ca *core.Call, si core.Sink) (*core.Report, error)
	Exchange         func(di *core.Digest) *core.Digest
	Claim            func(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error)
	Fetch            func(since core.Revision) (*core.Changes, error)
	UpdatePlacements func(pls []core.Placement)
	NotifyCrash      func(no *core.CrashNotice)
	HandOver         func(ctx context.Context, ha *core.Handover, rd io.Reader) error
	Order            func(ctx context.Context, or *core.Order) error
	Inspect          func(ctx context.Context) []core.EndpointState
	// RevisionSeen, if set, is called with the configuration revision in a peer's digest.
	RevisionSeen func(from core.VMID, rev core.Revision)
	// Revision returns this process's configuration revision, which replies carry.
	Revision func() core.Revision
	// MaxDeadline bounds the time until the deadlines of calls that are served, if it is not 0.
	MaxDeadline time.Duration
	// Shortened, if set, is called for each call whose deadline is later, or that has none.
	Shortened func(ca *core.Call)
	// Rejected, if set, is called for each message that is refused for a name or text that is too long.
	Rejected func(step string, err error)
	// Register, if set, registers other services on the same gRPC server.
	Register func(sr grpc.ServiceRegistrar)

	initOnce sync.Once
	grpc     *grpc.Server
}

const (
	// maxHeaderList bounds the header fields of a call, in bytes; peers send few.
	maxHeaderList = 16 << 10
	// maxStreams bounds the calls in progress on a connection.
	maxStreams = 4096
	// handshakeTimeout bounds the time until a new connection is set up.
	handshakeTimeout = 10 * time.Second
)

// Init creates the gRPC server. Start and Stop, which may run concurrently, call it if necessary.
func (se *Server) Init() { se.initOnce.Do(se.create) }

func (se *Server) create() {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
	}
	if se.StatsHandler != nil {
		options = append(options, grpc.StatsHandler(se.StatsHandler))
	}
	se.grpc = grpc.NewServer(options...)
	wire.RegisterNodeServer(se.grpc, &handler{se: se})
	if se.Register != nil {
		se.Register(se.grpc)
	}
}

// Start serves until Stop. Together they implement the kratos transport.Server interface.
func (se *Server) Start(context.Context) error {
	se.Init()
	return se.grpc.Serve(se.Listener)
}

// Stop waits for calls in progress and cancels them when ctx ends.
func (se *Server) Stop(ctx context.Context) error {
	se.Init()
	done := make(chan struct{})
	go func() {
		se.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		se.grpc.Stop()
	}
	return nil
}

type handler struct {
	wire.UnimplementedNodeServer
	se *Server
}

// Serve runs a call. The last message carries the report and, if the call was refused or failed, the
// refusal. A stream that ends without this message was interrupted in transit.
func (ha *handler) Serve(in *wire.Call, st grpc.ServerStreamingServer[wire.Part]) error {
	if ha.se.Serve == nil {
		return status.Error(codes.Unimplemented, "this process runs no calls")
	}
	if err := checkCall(in); err != nil {
		ha.noteRejected("serve", err)
		return st.SendMsg(&wire.Part{Attempt: in.Attempt, Told: reportToWire(&core.Report{}), Refused: refusalToWire(core.AsRefusal(err, "serve", ""))})
	}
	ca := callFromWire(in, time.Now())
	if latest := time.Now().Add(ha.se.MaxDeadline); ha.se.MaxDeadline > 0 && (ca.Deadline.IsZero() || ca.Deadline.After(latest)) {
		if ha.se.Shortened != nil {
			ha.se.Shortened(ca)
		}
		ca.Deadline = latest
	}
	ctx := st.Context()
	if !ca.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, ca.Deadline)
		defer cancel()
	}
	sm := &partStream{st: st}
	rep, err := ha.se.Serve(ctx, ca, sm)
	last := sm.last
	if last == nil {
		last = &wire.Part{Attempt: in.Attempt}
	}
	last.Told = reportToWire(rep)
	if err != nil {
		last.Refused = refusalToWire(core.AsRefusal(err, "serve", string(rep.VM)))
	}
	return st.SendMsg(last)
}

// partStream is the sink of a call. Send writes the message before it returns, so one message value
// is reused for all parts. The part with the end mark is kept until the call returns and is sent
// together with the report, so that a short response is one message instead of three.
type partStream struct {
	st   grpc.ServerStreamingServer[wire.Part]
	part wire.Part
	last *wire.Part
}

// Send sends a part to the peer.
func (sm *partStream) Send(pa *core.Part) error {
	if pa.End {
		sm.last = &wire.Part{}
		partToWire(pa, sm.last)
		sm.last.Data = slices.Clone(pa.Data)
		return nil
	}
	partToWire(pa, &sm.part)
	return sm.st.SendMsg(&sm.part)
}

// Exchange exchanges digests.
func (ha *handler) Exchange(_ context.Context, in *wire.Digest) (*wire.Digest, error) {
	if ha.se.Exchange == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no loads")
	}
	if err := checkDigest(in); err != nil {
		return nil, ha.reject("exchange", err)
	}
	ha.revisionSeen(core.VMID(in.From), in.Revision)
	return digestToWire(ha.se.Exchange(digestFromWire(in))), nil
}

// Claim decides on a claim of an idempotency key.
func (ha *handler) Claim(ctx context.Context, in *wire.ClaimCall) (*wire.ClaimReply, error) {
	if ha.se.Claim == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no claims")
	}
	if err := checkNames(in.VM); err != nil {
		return nil, ha.reject("claim", err)
	}
	ve, err := ha.se.Claim(ctx, claimFromWire(in))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return claimReplyToWire(ve), nil
}

// Fetch returns the configuration changes after a revision.
func (ha *handler) Fetch(_ context.Context, in *wire.FetchCall) (*wire.FetchReply, error) {
	if ha.se.Fetch == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no configuration")
	}
	ch, err := ha.se.Fetch(core.Revision(in.Since))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return changesToWire(ch), nil
}

// Place applies placements.
func (ha *handler) Place(_ context.Context, in *wire.PlaceCall) (*wire.PlaceReply, error) {
	if ha.se.UpdatePlacements == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no chats")
	}
	if err := checkPlacements(in); err != nil {
		return nil, ha.reject("place", err)
	}
	ha.se.UpdatePlacements(placementsFromWire(in))
	return &wire.PlaceReply{Revision: ha.revision()}, nil
}

// Blame applies a notice about a request that crashes endpoints.
func (ha *handler) Blame(_ context.Context, in *wire.BlameCall) (*wire.BlameReply, error) {
	if ha.se.NotifyCrash == nil {
		return nil, status.Error(codes.Unimplemented, "this process sends no requests to agents")
	}
	no, err := crashNoticeFromWire(time.Now(), in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	ha.se.NotifyCrash(no)
	return &wire.BlameReply{Revision: ha.revision()}, nil
}

// Order accepts or refuses an order.
func (ha *handler) Order(ctx context.Context, in *wire.OrderCall) (*wire.OrderReply, error) {
	if ha.se.Order == nil {
		return nil, status.Error(codes.Unimplemented, "this process takes no orders")
	}
	re := &wire.OrderReply{Revision: ha.revision()}
	if err := ha.se.Order(ctx, orderFromWire(in)); err != nil {
		re.Refused = refusalToWire(core.AsRefusal(err, "order", ""))
	}
	return re, nil
}

// Inspect returns the state of the endpoints.
func (ha *handler) Inspect(ctx context.Context, _ *wire.InspectCall) (*wire.InspectReply, error) {
	if ha.se.Inspect == nil {
		return nil, status.Error(codes.Unimplemented, "this process has no endpoints")
	}
	return statesToWire(ha.se.Inspect(ctx), ha.revision()), nil
}

func (ha *handler) revisionSeen(from core.VMID, rev uint64) {
	if ha.se.RevisionSeen != nil {
		ha.se.RevisionSeen(from, core.Revision(rev))
	}
}

func (ha *handler) revision() uint64 {
	if ha.se.Revision == nil {
		return 0
	}
	return uint64(ha.se.Revision())
}
