package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// AsyncWriter queues lines and writes them in the background. A line that arrives while the queue
// is full is dropped and counted, so that logging never blocks on a slow output.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	flushed chan struct{}
}

const (
	// maxQueuedLines bounds the queue; a line has some 300 bytes.
	maxQueuedLines = 1024
	// maxBatchBytes is the size at which a batch of lines is written even if more are queued. Lines
	// are batched because a write costs more than the bytes in it.
	maxBatchBytes = 16 << 10
)

// NewAsyncWriter returns an AsyncWriter that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	aw := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), flushed: make(chan struct{})}
	go aw.run()
	return aw
}

// Write queues one line, or drops it. It never fails.
func (aw *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case aw.lines <- append([]byte(nil), line...):
	default:
		aw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped.
func (aw *AsyncWriter) Dropped() int64 { return aw.dropped.Load() }

// Close writes the queued lines, and returns once that is done or the timeout has passed. Lines
// that are logged later are not written.
func (aw *AsyncWriter) Close(timeout time.Duration) {
	close(aw.quit)
	select {
	case <-aw.flushed:
	case <-time.After(timeout):
	}
}

func (aw *AsyncWriter) run() {
	defer close(aw.flushed)
	for {
		select {
		case line := <-aw.lines:
			aw.writeQueued(line)
		case <-aw.quit:
			aw.writeQueued(nil)
			return
		}
	}
}

// writeQueued writes a line and all queued ones.
func (aw *AsyncWriter) writeQueued(line []byte) {
	for {
		batch := line
		for len(batch) < maxBatchBytes && len(aw.lines) > 0 {
			batch = append(batch, <-aw.lines...)
		}
		_, _ = aw.out.Write(batch) // an error of the log output cannot be logged
		if len(aw.lines) == 0 {
			return
		}
		line = nil
	}
}

// Sampling of lines with the same message: in each second the first sampleFirst are written, then
// every sampleEvery-th. A busy router finishes some 100 requests a second; further lines would add
// no information.
const (
	sampleFirst = 50
	sampleEvery = 20
)

// NewJSON returns Logs that write JSON lines to out, sampled by message. It calls sampled for each
// line that is left out.
func NewJSON(out io.Writer, level zapcore.LevelEnabler, sampled func()) *Logs {
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
