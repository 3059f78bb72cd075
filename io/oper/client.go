package oper

import (
	"context"

	"github.com/samber/oops"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"almondrill/io/opsrpc"
)

// Dial returns a client that calls a router with an operator's key, and a function that closes the
// connection.
func Dial(addr, key string) (opsrpc.OperatorsClient, func() error, error) {
	withKey := func(ctx context.Context) context.Context {
		return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+key)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, in, out any, cc *grpc.ClientConn, call grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			return call(withKey(ctx), method, in, out, cc, opts...)
		}),
		grpc.WithStreamInterceptor(func(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, call grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
			return call(withKey(ctx), desc, cc, method, opts...)
		}),
	)
	if err != nil {
		return nil, nil, oops.In("dial").With("peer", addr).Wrap(err)
	}
	return opsrpc.NewOperatorsClient(conn), conn.Close, nil
}

// Failure describes an error that a router returned.
type Failure struct {
	Reason, Step, Peer, Text string
}

// FailureOf returns the Failure described by an error of an operators' call.
func FailureOf(err error) Failure {
	st := status.Convert(err)
	fa := Failure{Reason: st.Code().String(), Text: st.Message()}
	for _, de := range st.Details() {
		if info, ok := de.(*errdetails.ErrorInfo); ok {
			fa.Reason, fa.Step, fa.Peer = info.Reason, info.Metadata["Step"], info.Metadata["Peer"]
		}
	}
	return fa
}
