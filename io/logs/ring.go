package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// AsyncWriter takes lines and writes them in the background. A line that finds it full
// is dropped and counted: whoever logs never waits for a slow reader.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	flushed chan struct{}
}

const (
	// maxQueuedLines bounds the lines that wait, some 300 bytes each.
	maxQueuedLines = 1024
	// maxBatchBytes is how many bytes are written at a time: a write costs more than
	// the bytes in it.
	maxBatchBytes = 16 << 10
)

// NewAsyncWriter starts writing to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	aw := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), flushed: make(chan struct{})}
	go aw.run()
	return aw
}

// Write takes one line.
func (aw *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case aw.lines <- append([]byte(nil), line...):
	default:
		aw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped.
func (aw *AsyncWriter) Dropped() int64 { return aw.dropped.Load() }

// Close writes what waits, but for no longer than the time given. Later lines are
// dropped.
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

// writeQueued writes a line and those that wait behind it.
func (aw *AsyncWriter) writeQueued(line []byte) {
	for {
		batch := line
		for len(batch) < maxBatchBytes && len(aw.lines) > 0 {
			batch = append(batch, <-aw.lines...)
		}
		_, _ = aw.out.Write(batch) // where the output is gone, there is no place left to say so
		if len(aw.lines) == 0 {
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

// NewJSON writes structured lines, bounded per message and second. sampled is called
// for each line that is left out.
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
