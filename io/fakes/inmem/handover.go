package inmem

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"almondrill/core"
)

var _ core.Cache = (*Engine)(nil)

var errNoContext = errors.New("inmem: no such context")

// exportTokenTime is the time to export one token.
const exportTokenTime = 10 * time.Microsecond

// Export writes the size of a context, which is all that the fake stores of it.
func (en *Engine) Export(ctx context.Context, key uint64, wr io.Writer) error {
	en.mu.Lock()
	if en.cache == nil || !en.cache.Contains(key) {
		en.mu.Unlock()
		return errNoContext
	}
	tokens, _ := en.cache.Peek(key)
	en.mu.Unlock()
	if err := en.Clock.Sleep(ctx, time.Duration(tokens)*exportTokenTime); err != nil {
		return err
	}
	_, err := fmt.Fprintln(wr, int64(tokens))
	return err
}

// Import stores a context that Export wrote.
func (en *Engine) Import(_ context.Context, key uint64, rd io.Reader) error {
	var tokens core.Tokens
	if _, err := fmt.Fscanln(rd, &tokens); err != nil {
		return err
	}
	en.store(key, tokens)
	return nil
}
