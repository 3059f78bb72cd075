// Package delta packs data that differs little from what its receiver has.
//
// # Concepts
//
// Routers pass the operator's configuration on to each other. It is a document of some
// hundred kilobytes of which a change touches one line. Pack compresses it against the
// base, an earlier version that the receiver named; Unpack needs the same base. Without
// a base, it is compressed by itself.
//
// # Usage
//
//	packed, err := delta.Pack(data, base)
//	data, err = delta.Unpack(packed, base, most)
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictID marks what was packed against a base, in zstd's frame; 0 would mean none.
	dictID = 1
	// minWindow is the smallest window that zstd takes, mostWindow what a receiver is
	// ready to keep: eight megabytes, as zstd's own format asks of all decoders.
	minWindow = zstd.MinWindowSize
	maxWindow = 8 << 20
)

// Pack compresses data against the base, which may be empty.
func Pack(data, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowSize(len(data) + len(base))), zstd.WithSingleSegment(false),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictID, base))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	defer enc.Close()
	return enc.EncodeAll(data, nil), nil
}

// windowSize is the least power of two that spans so many bytes: matches reach back as far.
func windowSize(size int) int {
	win := minWindow
	for win < size && win < maxWindow {
		win *= 2
	}
	return win
}

// Unpack is the reverse of Pack, with the same base. It fails where more than most bytes
// would come out.
func Unpack(packed, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit)), zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictID, base))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	defer dec.Close()
	data, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	return data, nil
}
