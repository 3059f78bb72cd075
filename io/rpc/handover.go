package rpc

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondrill/core"
	"almondrill/io/wire"
)

// handoverChunkSize is the maximum amount of context data in one message.
const handoverChunkSize = 64 << 10

// HandOver sends a chat's context to another agent. If the context cannot be read to its end, the
// stream is canceled rather than closed, so that the receiver does not accept a truncated context.
func (cl *Client) HandOver(ctx context.Context, to core.VMID, ha *core.Handover, rd io.Reader) error {
	co, err := cl.acquire(to)
	if err != nil {
		return unreachable(to, err)
	}
	defer cl.release(co)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := wire.NewNodeClient(co.grpc).Hand(ctx)
	if err != nil {
		return streamNotOpened(ctx, to)
	}
	first := &wire.HandPart{Placement: placementsToWire([]core.Placement{ha.Placement}).Placements[0], Tokens: int64(ha.Tokens)}
	if err = sendHandover(st, first, rd); err != nil {
		return peerLost(ctx, to, err)
	}
	re, err := st.CloseAndRecv()
	if err != nil {
		return peerLost(ctx, to, err)
	}
	return refusalFromWire(re.Refused)
}

// sendHandover sends until the end of the context or until the receiver refuses it. A refusal shows
// as io.EOF from Send and is read from the reply.
func sendHandover(st grpc.ClientStreamingClient[wire.HandPart, wire.HandReply], part *wire.HandPart, rd io.Reader) error {
	buf := make([]byte, handoverChunkSize)
	for {
		if err := st.Send(part); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		// Not io.ReadFull: it reports a last, shorter chunk as io.ErrUnexpectedEOF, which is also the
		// error of an engine's broken connection.
		size, err := rd.Read(buf)
		if err != nil && (size == 0 || !errors.Is(err, io.EOF)) {
			return ignoreEOF(err)
		}
		part = &wire.HandPart{Data: buf[:size]}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Hand receives a context.
func (ha *handler) Hand(st grpc.ClientStreamingServer[wire.HandPart, wire.HandReply]) error {
	if ha.se.HandOver == nil {
		return status.Error(codes.Unimplemented, "this process keeps no contexts")
	}
	first, err := st.Recv()
	if err != nil {
		return err
	}
	if first.Placement == nil {
		return status.Error(codes.InvalidArgument, "the first part names no chat")
	}
	if err = checkPlacement(first.Placement); err != nil {
		return ha.reject("hand", err)
	}
	pl := placementsFromWire(&wire.PlaceCall{Placements: []*wire.Placement{first.Placement}})[0]
	re := &wire.HandReply{Revision: ha.revision()}
	if err = ha.se.HandOver(st.Context(), &core.Handover{Placement: pl, Tokens: core.Tokens(first.Tokens)}, &handoverReader{st: st}); err != nil {
		re.Refused = refusalToWire(core.AsRefusal(err, "hand", ""))
	}
	return st.SendAndClose(re)
}

// handoverReader reads a context from its messages. A stream that was canceled ends with an error,
// never with io.EOF.
type handoverReader struct {
	st     grpc.ClientStreamingServer[wire.HandPart, wire.HandReply]
	unread []byte
}

// Read implements io.Reader.
func (hr *handoverReader) Read(data []byte) (int, error) {
	for len(hr.unread) == 0 {
		part, err := hr.st.Recv()
		if err != nil {
			return 0, err
		}
		hr.unread = part.Data
	}
	n := copy(data, hr.unread)
	hr.unread = hr.unread[n:]
	return n, nil
}
