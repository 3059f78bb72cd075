package gossip

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
)

// ItemsPath is where a router tells what it knows of the store. The query After
// names the revision from which on.
const ItemsPath = "/gossip/items"

const (
	// fetchTimeout bounds a fetch: a megabyte takes 10 ms on a link of 1 Gbit/s, and
	// a busy peer some 100 ms.
	fetchTimeout = time.Second
	// mostItems bounds what is read of a peer's answer.
	mostItems = 8 << 20
)

// items is a peer's answer.
type items struct {
	AsOf  core.Version `cbor:"1,keyasint"`
	Items []core.Item  `cbor:"2,keyasint"`
	// Whole is set if Items are all there are: what is not among them is deleted.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Handler tells what this router knows of the store.
func (gr *Group) Handler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		after, err := strconv.ParseUint(hr.URL.Query().Get("After"), 10, 64)
		if err != nil {
			http.Error(wr, "After is not a revision: "+hr.URL.Query().Get("After"), http.StatusBadRequest)
			return
		}
		news, asOf, whole := gr.Mirror.Since(core.Version(after))
		data, err := cbor.Marshal(&items{AsOf: asOf, Items: news, Whole: whole})
		if err != nil {
			http.Error(wr, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = wr.Write(data) // a peer that is gone asks another
	})
}

var client = &http.Client{
	Timeout:   fetchTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// catchUp fetches what the peer that knows most knows beyond the own mirror.
func (gr *Group) catchUp(ctx context.Context) {
	own := gr.Mirror.AsOf()
	if own == 0 && !gr.Feed.Failing() {
		return // the own listing is under way
	}
	addr, confirmed := gr.ahead(own)
	if addr == "" {
		return
	}
	go func() {
		err := gr.fetch(ctx, addr, own)
		gr.mu.Lock()
		gr.fetched = false
		gr.mu.Unlock()
		if err != nil {
			gr.Log.Warn("Fetching news from a peer failed.", zap.String("Addr", addr), zap.Error(err))
			return
		}
		gr.Feed.Confirm(time.Since(confirmed))
	}()
}

// ahead is the address of the peer that knows the latest revision beyond own, and
// when the store confirmed it; "" if none does or a fetch is under way.
func (gr *Group) ahead(own core.Version) (string, time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.fetched {
		return "", time.Time{}
	}
	best, high, confirmed := "", own, time.Time{}
	for addr, me := range gr.members {
		if me.asOf > high && time.Since(me.heard) < liveFor {
			best, high, confirmed = addr, me.asOf, me.confirmed
		}
	}
	gr.fetched = best != ""
	return best, confirmed
}

func (gr *Group) fetch(ctx context.Context, addr string, after core.Version) error {
	uri := fmt.Sprintf("http://%s%s?After=%d", addr, ItemsPath, after)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, uri, nil)
	if err != nil {
		return err
	}
	rs, err := client.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("peer answered %s", rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, mostItems))
	if err != nil {
		return fmt.Errorf("read a peer's items: %w", err)
	}
	var its items
	if err = cbor.Unmarshal(data, &its); err != nil {
		return fmt.Errorf("decode a peer's items: %w", err)
	}
	if its.Whole {
		gr.Mirror.Replace(its.Items, its.AsOf)
	} else {
		gr.Mirror.Apply(its.Items, its.AsOf)
	}
	gr.Log.Info("Learned from a peer.", zap.String("Addr", addr), zap.Int("Items", len(its.Items)), zap.Bool("Whole", its.Whole),
		zap.Uint64("After", uint64(after)), zap.Uint64("AsOf", uint64(its.AsOf)))
	return nil
}
