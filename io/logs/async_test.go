package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"almondrill/io/logs"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex // guards out
	out     bytes.Buffer
	release chan struct{}
}

func (bw *blockedWriter) Write(data []byte) (int, error) {
	<-bw.release
	bw.mu.Lock()
	defer bw.mu.Unlock()
	return bw.out.Write(data)
}

// The reader of the log output stops reading. Logging must not block, and lines that are dropped or
// left out by sampling are counted.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := logs.NewAsyncWriter(out)
	sampled := 0
	lo := logs.NewJSON(writer, zapcore.InfoLevel, func() { sampled++ }).With(zap.String("VM", "one")).Part("relay")
	began := time.Now()
	for ix := range 5000 {
		lo.Warn("Refused.", zap.Int("Number", ix))
		_, _ = writer.Write([]byte("{}\n"))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("logging 5,000 lines took %s, want 2 s or less", took)
	}
	if writer.Dropped() == 0 || sampled == 0 {
		t.Errorf("%d lines dropped, %d left out by sampling; want some of both", writer.Dropped(), sampled)
	}
	close(out.release)
	writer.Close(time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	first, _, _ := strings.Cut(out.out.String(), "\n")
	for _, want := range []string{`"Part":"relay"`, `"VM":"one"`, `"Message":"Refused."`, `"Number":0`} {
		if !strings.Contains(first, want) {
			t.Errorf("the first line lacks %s: %s", want, first)
		}
	}
}
