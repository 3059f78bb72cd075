package engine

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// bytesPerToken is the size of an exported context per token; those of real engines are larger.
const bytesPerToken = 64

// handleExport sends a chat's context: its number of tokens on a line, then bytesPerToken bytes for
// each.
func (en *Engine) handleExport(wr http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	en.initCache()
	tokens, known := en.cache.Peek(rq.FormValue("key"))
	cut := en.faults.CutAfter > 0
	en.mu.Unlock()
	if !known {
		http.Error(wr, "no such context", http.StatusNotFound)
		return
	}
	fmt.Fprintln(wr, tokens)
	body := strings.Repeat("x", tokens*bytesPerToken)
	if cut {
		_, _ = io.WriteString(wr, body[:len(body)/2])
		_ = http.NewResponseController(wr).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wr, body)
}

// handleImport stores a context once its body has arrived without an error.
func (en *Engine) handleImport(wr http.ResponseWriter, rq *http.Request) {
	rd := bufio.NewReader(rq.Body)
	line, err := rd.ReadString('\n')
	if err != nil {
		http.Error(wr, "malformed context", http.StatusBadRequest)
		return
	}
	tokens, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		http.Error(wr, "malformed context", http.StatusBadRequest)
		return
	}
	// It cannot detect a body that ends early without an error, as no length is sent to compare
	// with.
	if _, err = io.Copy(io.Discard, rd); err != nil {
		http.Error(wr, "the context is not whole", http.StatusBadRequest)
		return
	}
	en.store(rq.FormValue("key"), tokens)
	en.mu.Lock()
	en.stats.Imports++
	en.mu.Unlock()
}
