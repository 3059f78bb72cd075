package rpc

import (
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondrill/core"
	"almondrill/io/wire"
)

const (
	// maxNameBytes bounds the names of VMs, customers, pools, chats and idempotency keys in a message: processes keep
	// them. Declared names and those that callers may choose are no longer.
	maxNameBytes = 255
	// maxTextBytes bounds a call's method, path and content type, which are parts of a caller's head.
	maxTextBytes = 64 << 10
)

// checkNames returns an error if a name that a peer has sent is longer than any process uses.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return fmt.Errorf("a name has %d bytes, at most %d are allowed", len(name), maxNameBytes)
		}
	}
	return nil
}

func (ha *handler) noteRejected(step string, err error) {
	if ha.se.Rejected != nil {
		ha.se.Rejected(step, err)
	}
}

// reject returns the error of a call whose message is refused.
func (ha *handler) reject(step string, err error) error {
	ha.noteRejected(step, err)
	return status.Error(codes.InvalidArgument, err.Error())
}

// checkCall returns the refusal of a call with a name or text that is too long, nil if there is none.
func checkCall(ca *wire.Call) error {
	err := checkNames(ca.Customer, ca.Pool, ca.Chat, ca.Key, ca.Missed)
	if size := max(len(ca.Method), len(ca.Path), len(ca.ContentType)); err == nil && size > maxTextBytes {
		err = fmt.Errorf("a method, path or content type has %d bytes, at most %d are allowed", size, maxTextBytes)
	}
	if err == nil {
		return nil
	}
	return &core.Refusal{Outcome: core.NotRun, Reason: core.ReasonBadRequest, Step: "serve", Detail: err.Error()}
}

func checkPlacement(pl *wire.Placement) error {
	return checkNames(pl.GetCustomer(), pl.GetPool(), pl.GetChat(), pl.GetVM())
}

func checkPlacements(pc *wire.PlaceCall) error {
	for _, pl := range pc.Placements {
		if err := checkPlacement(pl); err != nil {
			return err
		}
	}
	return nil
}

func checkDigest(di *wire.Digest) error {
	if err := checkNames(di.From); err != nil {
		return err
	}
	for _, pool := range di.Pools {
		if err := checkNames(append([]string{pool.Pool}, pool.VMs...)...); err != nil {
			return err
		}
	}
	return nil
}
