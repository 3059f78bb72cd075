// Package delta compresses data against an earlier version that the receiver has.
//
// # Concepts
//
// Routers send the operator's configuration to each other. It is a document of some hundred
// kilobytes, and a change usually affects one line. Pack compresses it with zstd against a base, an
// earlier version that the receiver named; Unpack needs the same base. Without a base, the data is
// compressed by itself.
//
// # Usage
//
//	packed, err := delta.Pack(data, base)
//	data, err = delta.Unpack(packed, base, limit)
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictID marks data packed against a base, in zstd's frame header, where 0 means none.
	dictID = 1
	// minWindow is the smallest window that zstd accepts, maxWindow the largest that a receiver
	// allocates: 8 MiB, which the zstd format asks all decoders to support.
	minWindow = zstd.MinWindowSize
	maxWindow = 8 << 20
)

// Pack compresses data against base, which may be empty.
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

// windowSize returns the smallest power of two that spans size bytes, within minWindow and
// maxWindow: matches reach back that far.
func windowSize(size int) int {
	win := minWindow
	for win < size && win < maxWindow {
		win *= 2
	}
	return win
}

// Unpack reverses Pack, with the same base. It fails if the result would exceed limit bytes.
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
