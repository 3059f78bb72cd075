package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Ring takes lines and writes them in the background. A line that finds it full
// is dropped and counted: whoever logs never waits for a slow reader.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	flushed chan struct{}
}

const (
	// ringLines bounds the lines that wait, some 300 bytes each.
	ringLines = 1024
	// ringBatch is how many bytes are written at a time: a write costs more than
	// the bytes in it.
	ringBatch = 16 << 10
)

// NewRing starts writing to out.
func NewRing(out io.Writer) *Ring {
	ri := &Ring{out: out, lines: make(chan []byte, ringLines), quit: make(chan struct{}), flushed: make(chan struct{})}
	go ri.drain()
	return ri
}

// Write takes one line.
func (ri *Ring) Write(line []byte) (int, error) {
	select {
	case ri.lines <- append([]byte(nil), line...):
	default:
		ri.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped.
func (ri *Ring) Dropped() int64 { return ri.dropped.Load() }

// Close writes what waits, but for no longer than the time given. Later lines are
// dropped.
func (ri *Ring) Close(most time.Duration) {
	close(ri.quit)
	select {
	case <-ri.flushed:
	case <-time.After(most):
	}
}

func (ri *Ring) drain() {
	defer close(ri.flushed)
	for {
		select {
		case line := <-ri.lines:
			ri.writeFrom(line)
		case <-ri.quit:
			ri.writeFrom(nil)
			return
		}
	}
}

// writeFrom writes a line and those that wait behind it.
func (ri *Ring) writeFrom(line []byte) {
	for {
		batch := line
		for len(batch) < ringBatch && len(ri.lines) > 0 {
			batch = append(batch, <-ri.lines...)
		}
		_, _ = ri.out.Write(batch) // where the output is gone, there is no place left to say so
		if len(ri.lines) == 0 {
			return
		}
		line = nil
	}
}

// Bounds of the lines of one message in a second: the first sampleFirst are
// written, then each sampleEvery-th. A busy router ends some 100 requests a
// second; what goes beyond tells nothing that these lines don't.
const (
	sampleFirst = 50
	sampleEvery = 20
)

// JSON writes structured lines, bounded per message and second. sampled is called
// for each line that is left out.
func JSON(out io.Writer, level zapcore.LevelEnabler, sampled func()) *Logs {
	format := zap.NewProductionEncoderConfig()
	format.TimeKey = "Time"
	format.LevelKey = "Level"
	format.NameKey = "Part"
	format.MessageKey = "Message"
	format.EncodeTime = zapcore.ISO8601TimeEncoder
	format.EncodeLevel = zapcore.CapitalLevelEncoder
	format.EncodeDuration = zapcore.MillisDurationEncoder
	plain := zapcore.NewCore(zapcore.NewJSONEncoder(format), zapcore.AddSync(out), level)
	hook := func(_ zapcore.Entry, de zapcore.SamplingDecision) {
		if de&zapcore.LogDropped != 0 {
			sampled()
		}
	}
	return &Logs{core: zapcore.NewSamplerWithOptions(plain, time.Second, sampleFirst, sampleEvery, zapcore.SamplerHook(hook))}
}
