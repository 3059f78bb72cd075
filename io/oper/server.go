// Package oper implements the operators' calls of io/opsrpc: the server that routers run, and the
// client of the commands.
//
// # Concepts
//
// A document is sent as JSON. The server validates it even if the client did, and commits it to the
// revision log, which gives the guarantees on accepted changes.
//
// # Invariants
//
//   - Every call needs the key of a known operator, and is logged with the operator's name.
//   - Apply returns a revision only if the change is stored in the KV.
//
// # Usage
//
//	oper.Register(grpcServer, &oper.Server{Log: log, Operators: names})
package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/decl"
	"almondrill/core/revlog"
	"almondrill/io/conf"
	"almondrill/io/opsrpc"
)

// Server serves operators. Set the exported fields before Register.
type Server struct {
	Log       *revlog.Log
	Board     *board.Board
	Peers     core.Peers
	Operators []conf.OperatorSetting
	// Digest returns the digest that Status exchanges with the other processes.
	Digest func() *core.Digest
	// Out is the server's logger; Log is the revision log.
	Out   *zap.Logger
	Clock core.Clock

	opsrpc.UnimplementedOperatorsServer
}

// Register adds the operators' service to a gRPC server.
func Register(sr grpc.ServiceRegistrar, se *Server) { opsrpc.RegisterOperatorsServer(sr, se) }

const (
	// watchInterval is how often Watch checks for a new revision.
	watchInterval = 100 * time.Millisecond
	maxHistory    = 1000
)

// authenticate returns the name of the operator whose key the call carries. Every call begins with
// it.
func (se *Server) authenticate(ctx context.Context, step string) (string, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	key := ""
	if values := md.Get("authorization"); len(values) == 1 {
		key = strings.TrimPrefix(values[0], "Bearer ")
	}
	sum := sha256.Sum256([]byte(key))
	keyHash := hex.EncodeToString(sum[:])
	found := ""
	for _, op := range se.Operators {
		if subtle.ConstantTimeCompare([]byte(op.KeyHash), []byte(keyHash)) == 1 {
			found = op.Name
		}
	}
	if found == "" {
		return "", se.statusError(codes.Unauthenticated, "BadKey", step, "no operator has this key")
	}
	se.Out.Info("An operator made a call.", zap.String("Operator", found), zap.String("Step", step))
	return found, nil
}

// statusError returns a gRPC status error whose details contain reason, step and peer.
func (se *Server) statusError(code codes.Code, reason, step, text string) error {
	st := status.New(code, text)
	detailed, err := st.WithDetails(&errdetails.ErrorInfo{
		Reason: reason, Domain: "almondrill",
		Metadata: map[string]string{"Step": step, "Peer": string(se.Board.Self.ID)},
	})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}

// parseDocument decodes and validates a document that an operator sent.
func (se *Server) parseDocument(step string, data []byte) (*decl.Document, error) {
	var doc decl.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, se.statusError(codes.InvalidArgument, "BadDocument", step, "the document is not readable: "+err.Error())
	}
	problems := decl.Check(&doc)
	if len(problems) == 0 {
		return decl.Apply(&decl.Document{}, &decl.Delta{Set: doc}), nil
	}
	var lines []string
	for _, pr := range problems {
		lines = append(lines, pr.String())
	}
	return nil, se.statusError(codes.InvalidArgument, "BadDocument", step, strings.Join(lines, "\n"))
}

// Plan returns the changes that a document would make.
func (se *Server) Plan(ctx context.Context, in *opsrpc.PlanCall) (*opsrpc.PlanReply, error) {
	if _, err := se.authenticate(ctx, "plan"); err != nil {
		return nil, err
	}
	doc, err := se.parseDocument("plan", in.Document)
	if err != nil {
		return nil, err
	}
	if err = se.Log.Refresh(ctx); err != nil {
		return nil, se.statusError(codes.Unavailable, "KVDown", "plan", err.Error())
	}
	current, rev := se.Log.Document()
	return &opsrpc.PlanReply{Revision: uint64(rev), Changes: decl.Diff(current, doc).Lines()}, nil
}

// Apply commits a document to the revision log.
func (se *Server) Apply(ctx context.Context, in *opsrpc.ApplyCall) (*opsrpc.ApplyReply, error) {
	who, err := se.authenticate(ctx, "apply")
	if err != nil {
		return nil, err
	}
	if in.ID == "" {
		return nil, se.statusError(codes.InvalidArgument, "BadCall", "apply", "a change needs an ID")
	}
	doc, err := se.requestedDocument(ctx, in)
	if err != nil {
		return nil, err
	}
	before, _ := se.Log.Document()
	rev, err := se.Log.Commit(ctx, core.Revision(in.Planned), doc, revlog.Meta{
		ID: in.ID, Author: who, Source: in.Source, Note: in.Note,
	})
	if err != nil {
		se.Out.Info("A change was not accepted.", zap.String("Operator", who), zap.String("ID", in.ID), zap.Error(err))
		return nil, se.commitError(err)
	}
	se.Out.Info("A change was accepted.", zap.String("Operator", who), zap.String("ID", in.ID),
		zap.Uint64("Revision", uint64(rev)), zap.String("Source", in.Source))
	return &opsrpc.ApplyReply{Revision: uint64(rev), Changes: decl.Diff(before, doc).Lines()}, nil
}

// requestedDocument returns the document that a call of Apply contains or, for a rollback, that of
// the revision it names.
func (se *Server) requestedDocument(ctx context.Context, in *opsrpc.ApplyCall) (*decl.Document, error) {
	if in.Rollback == 0 {
		return se.parseDocument("apply", in.Document)
	}
	doc, err := se.Log.DocumentAt(ctx, core.Revision(in.Rollback))
	if err != nil {
		return nil, se.statusError(codes.NotFound, "NoRevision", "rollback", err.Error())
	}
	return doc, nil
}

func (se *Server) commitError(err error) error {
	var conflict *revlog.Conflict
	var uncertain *revlog.Uncertain
	switch {
	case errors.As(err, &conflict):
		return se.statusError(codes.Aborted, "Conflict", "apply", err.Error())
	case errors.As(err, &uncertain):
		return se.statusError(codes.DeadlineExceeded, "Uncertain", "apply", err.Error())
	}
	return se.statusError(codes.Unavailable, "NotAccepted", "apply", err.Error())
}

// Get returns the document of a revision, or the current one.
func (se *Server) Get(ctx context.Context, in *opsrpc.GetCall) (*opsrpc.GetReply, error) {
	if _, err := se.authenticate(ctx, "get"); err != nil {
		return nil, err
	}
	doc, rev := se.Log.Document()
	if in.Revision != 0 && core.Revision(in.Revision) != rev {
		var err error
		rev = core.Revision(in.Revision)
		if doc, err = se.Log.DocumentAt(ctx, rev); err != nil {
			return nil, se.statusError(codes.NotFound, "NoRevision", "get", err.Error())
		}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, se.statusError(codes.Internal, "Encoding", "get", err.Error())
	}
	return &opsrpc.GetReply{Revision: uint64(rev), Document: data}, nil
}

// History lists the latest accepted changes.
func (se *Server) History(ctx context.Context, in *opsrpc.HistoryCall) (*opsrpc.HistoryReply, error) {
	if _, err := se.authenticate(ctx, "history"); err != nil {
		return nil, err
	}
	out := &opsrpc.HistoryReply{}
	for _, de := range se.Log.History(ctx, min(maxHistory, max(1, int(in.Most)))) {
		out.Changes = append(out.Changes, &opsrpc.Change{
			Revision: uint64(de.Revision), ID: de.ID, Author: de.Author, Source: de.Source, Note: de.Note,
			AtUnixMillis: de.At.UnixMilli(), Lines: de.Lines(),
		})
	}
	return out, nil
}

// Watch sends each new revision when this router adopts it.
func (se *Server) Watch(_ *opsrpc.WatchCall, st grpc.ServerStreamingServer[opsrpc.WatchReply]) error {
	ctx := st.Context()
	if _, err := se.authenticate(ctx, "watch"); err != nil {
		return err
	}
	var last core.Revision
	for {
		if rev := se.Log.Revision(); rev > last {
			last = rev
			if err := st.Send(&opsrpc.WatchReply{Revision: uint64(rev)}); err != nil {
				return err
			}
		}
		if err := se.Log.Clock.Sleep(ctx, watchInterval); err != nil {
			return nil //nolint:nilerr // the operator disconnected
		}
	}
}
