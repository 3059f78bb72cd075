package builds

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"almondrill/core"
)

// streamSize is the size of a stream in a batch: its key and its build.
const streamSize = 12

// EncodeStreams returns the value of a batch of streams in the store: how long they are needed, in ms, and
// the streams.
func EncodeStreams(sb core.StreamBatch) []byte {
	ms := min(math.MaxUint32, max(0, sb.TTL.Milliseconds()))
	value := binary.BigEndian.AppendUint32(nil, uint32(ms))
	for _, st := range sb.Streams {
		value = binary.BigEndian.AppendUint64(value, uint64(st.Stream))
		value = binary.BigEndian.AppendUint32(value, uint32(st.Build))
	}
	return value
}

// maxStreamTTL bounds how long a batch may say that its streams are needed.
const maxStreamTTL = 10 * time.Minute

// DecodeStreams decodes a batch of streams.
func DecodeStreams(value []byte) (core.StreamBatch, error) {
	const head = 4
	if len(value) < head || (len(value)-head)%streamSize != 0 {
		return core.StreamBatch{}, fmt.Errorf("decode a batch of streams: %d bytes", len(value))
	}
	sb := core.StreamBatch{TTL: min(maxStreamTTL, time.Duration(binary.BigEndian.Uint32(value))*time.Millisecond)}
	for rest := value[head:]; len(rest) > 0; rest = rest[streamSize:] {
		sb.Streams = append(sb.Streams, core.StreamBuild{
			Stream: core.StreamKey(binary.BigEndian.Uint64(rest)), Build: core.Build(binary.BigEndian.Uint32(rest[8:])),
		})
	}
	return sb, nil
}
