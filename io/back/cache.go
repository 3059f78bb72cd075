package back

import (
	"context"
	"io"
	"net/http"

	"github.com/samber/oops"

	"almondrill/core"
)

var _ core.Cache = (*Endpoint)(nil)

const (
	exportPath = "/cache/export?key="
	importPath = "/cache/import?key="
)

// Export writes a chat's context to wr, in the engine's own format.
func (ep *Endpoint) Export(ctx context.Context, key uint64, wr io.Writer) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, ep.URL+exportPath+CacheKey(key), nil)
	if err != nil {
		return oops.In("export").With("peer", ep.ID).Wrap(err)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return oops.In("export").With("peer", ep.ID).Wrap(err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return oops.In("export").With("peer", ep.ID).Errorf("status %d", rs.StatusCode)
	}
	// A body without a length or chunks ends the same way whether it is complete or truncated.
	if rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
		return oops.In("export").With("peer", ep.ID).Errorf("the context's end cannot be told")
	}
	_, err = io.Copy(wr, rs.Body)
	return oops.In("export").With("peer", ep.ID).Wrap(err)
}

// Import sends a context to the engine, which adds it to its cache. If reading rd fails, the
// request is aborted, and the engine sees that the context is incomplete.
func (ep *Endpoint) Import(ctx context.Context, key uint64, rd io.Reader) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPut, ep.URL+importPath+CacheKey(key), oneShotReader{rd})
	if err != nil {
		return oops.In("import").With("peer", ep.ID).Wrap(err)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return oops.In("import").With("peer", ep.ID).Wrap(err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return oops.In("import").With("peer", ep.ID).Errorf("status %d", rs.StatusCode)
	}
	return nil
}
