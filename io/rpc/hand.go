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

// handChunk is the size of a message of a context.
const handChunk = 64 << 10

// HandOver moves a chat's context to another agent. If it cannot be read to its end
// the stream is broken off rather than closed, so that the other side does not
// take a part for the whole.
func (cl *Client) HandOver(ctx context.Context, to core.VMID, ha *core.Handover, rd io.Reader) error {
	co, err := cl.take(to)
	if err != nil {
		return unreachable(to, err)
	}
	defer cl.put(co)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := wire.NewNodeClient(co.grpc).Hand(ctx)
	if err != nil {
		return notOpened(ctx, to)
	}
	first := &wire.HandPart{Placement: placesToWire([]core.Placement{ha.Placement}).Placements[0], Tokens: int64(ha.Tokens)}
	if err = sendContext(st, first, rd); err != nil {
		return lost(ctx, to, err)
	}
	re, err := st.CloseAndRecv()
	if err != nil {
		return lost(ctx, to, err)
	}
	return refusalFromWire(re.Refused)
}

// sendContext sends until the context's end or the other side's refusal, which
// shows as io.EOF and is then read from its reply.
func sendContext(st grpc.ClientStreamingClient[wire.HandPart, wire.HandReply], part *wire.HandPart, rd io.Reader) error {
	buf := make([]byte, handChunk)
	for {
		if err := st.Send(part); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		// Not io.ReadFull: it tells a last, shorter piece by io.ErrUnexpectedEOF,
		// which is also what an engine's broken connection reads as.
		size, err := rd.Read(buf)
		if err != nil && (size == 0 || !errors.Is(err, io.EOF)) {
			return ended(err)
		}
		part = &wire.HandPart{Data: buf[:size]}
	}
}

func ended(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Hand takes a context in.
func (ha *handler) Hand(st grpc.ClientStreamingServer[wire.HandPart, wire.HandReply]) error {
	if ha.se.Hand == nil {
		return status.Error(codes.Unimplemented, "this process keeps no contexts")
	}
	first, err := st.Recv()
	if err != nil {
		return err
	}
	if first.Placement == nil {
		return status.Error(codes.InvalidArgument, "the first part names no chat")
	}
	pl := placesFromWire(&wire.PlaceCall{Placements: []*wire.Placement{first.Placement}})[0]
	re := &wire.HandReply{Revision: ha.revision()}
	if err = ha.se.Hand(st.Context(), &core.Handover{Placement: pl, Tokens: core.Tokens(first.Tokens)}, &parts{st: st}); err != nil {
		re.Refused = refusalToWire(core.AsRefusal(err, "hand", ""))
	}
	return st.SendAndClose(re)
}

// parts reads a context from its messages. A stream that was broken off ends
// with an error, never with io.EOF.
type parts struct {
	st   grpc.ClientStreamingServer[wire.HandPart, wire.HandReply]
	left []byte
}

// Read reads from the next message.
func (pa *parts) Read(data []byte) (int, error) {
	for len(pa.left) == 0 {
		part, err := pa.st.Recv()
		if err != nil {
			return 0, err
		}
		pa.left = part.Data
	}
	n := copy(data, pa.left)
	pa.left = pa.left[n:]
	return n, nil
}
