package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/core/route"
	"almondrill/io/delta"
)

// ItemsPath is where a router tells what it knows of the store. The query tells what
// the asker knows already, see ask.
const ItemsPath = "/gossip/items"

const (
	// fetchTimeout bounds a fetch: a configuration of a megabyte, packed to a quarter,
	// takes 200 ms on a link of 10 Mbit/s, and a busy peer some 100 ms.
	fetchTimeout = time.Second
	// maxItemsBytes bounds what is read of a peer's answer, and what comes out of it.
	maxItemsBytes = 8 << 20
)

// items is what a peer knows.
type items struct {
	AsOf  core.Version `cbor:"1,keyasint"`
	Items []core.Item  `cbor:"2,keyasint"`
	// Whole is set if Items are all there are: what is not among them is deleted.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// packedResponse is a peer's answer: items, packed against a value that the asker has.
type packedResponse struct {
	// Base is the revision of that value, 0 if there is none.
	Base   core.Version `cbor:"1,keyasint,omitempty"`
	Packed []byte       `cbor:"2,keyasint"`
}

// fetchRequest is what a router tells when it fetches: the revision up to which it knows all, and
// its largest item, the operator's configuration as a rule, to pack the answer against.
type fetchRequest struct {
	After core.Version
	Key   string
	Rev   core.Version
}

func (fr *fetchRequest) query() string {
	return url.Values{
		"After": {strconv.FormatUint(uint64(fr.After), 10)}, "Key": {fr.Key}, "Rev": {strconv.FormatUint(uint64(fr.Rev), 10)},
	}.Encode()
}

func parseFetchRequest(query url.Values) (fetchRequest, error) {
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	if err != nil {
		return fetchRequest{}, fmt.Errorf("no revision in After: %q", query.Get("After"))
	}
	rev, err := strconv.ParseUint(cmp.Or(query.Get("Rev"), "0"), 10, 64)
	if err != nil {
		return fetchRequest{}, fmt.Errorf("no revision in Rev: %q", query.Get("Rev"))
	}
	return fetchRequest{core.Version(after), query.Get("Key"), core.Version(rev)}, nil
}

// responseCache are the answers that were made of the mirror at one revision. After a change,
// peers ask for the same within a fraction of a second.
type responseCache struct {
	mu     sync.Mutex // guards all below, and lets one goroutine at a time pack
	asOf   core.Version
	packed map[fetchRequest][]byte
}

// maxResponses bounds the answers kept; peers are rarely behind by different amounts.
const maxResponses = 16

func (rc *responseCache) get(fr fetchRequest, mi *mirror.Mirror) ([]byte, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	changes, asOf, whole := mi.Since(fr.After)
	if asOf != rc.asOf || len(rc.packed) >= maxResponses {
		rc.asOf, rc.packed = asOf, map[fetchRequest][]byte{}
	}
	if data := rc.packed[fr]; data != nil {
		return data, nil
	}
	plain, err := cbor.Marshal(&items{AsOf: asOf, Items: changes, Whole: whole})
	if err != nil {
		return nil, err
	}
	base := mi.Value(fr.Key, fr.Rev)
	out := packedResponse{}
	if len(base) > 0 {
		out.Base = fr.Rev
	}
	if out.Packed, err = delta.Pack(plain, base); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(&out)
	if err == nil {
		rc.packed[fr] = data
	}
	return data, err
}

// Handler tells what this router knows of the store.
func (gr *Group) Handler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		fr, err := parseFetchRequest(hr.URL.Query())
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := gr.responses.get(fr, gr.Mirror)
		if err != nil {
			gr.Log.Error("Packing news for a peer failed.", zap.Stringer("After", fr.After), zap.Error(err))
			http.Error(wr, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = wr.Write(data) // a peer that is gone asks another
	})
}

var httpClient = &http.Client{
	Timeout:   fetchTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// fetchUpdates fetches what the peer that knows most knows beyond the own mirror, also while
// the own first listing waits for a store that is silent: a peer's answer is the first to
// come then.
func (gr *Group) fetchUpdates(ctx context.Context) {
	ownRev := gr.Mirror.AsOf()
	if ownRev == 0 && !gr.Feed.Unresponsive() {
		// The own listing is on its way. Where hundreds start at once, the first that
		// knows anything would be asked for all of it by all others.
		return
	}
	addr, confirmed := gr.pickAhead(ownRev)
	after := ownRev
	if addr == "" {
		addr, confirmed = gr.pickAheadInConfig()
		after = 0
	}
	if addr == "" {
		return
	}
	go func() {
		err := gr.fetch(ctx, addr, after)
		gr.mu.Lock()
		gr.fetching = false
		gr.mu.Unlock()
		if err != nil {
			gr.Log.Warn("Fetching news from a peer failed.", zap.String("Addr", addr), zap.Error(err))
			return
		}
		gr.Feed.Confirm(time.Since(confirmed))
	}()
}

// pickAhead is the address of a peer that knows a revision beyond own, and when the store
// confirmed it; "" if none does or a fetch is under way.
//
// It is drawn among all that are ahead: hundreds of routers that have just started would all ask
// the one that knows most, whose link could not serve them within fetchTimeout.
func (gr *Group) pickAhead(ownRev core.Version) (string, time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.fetching {
		return "", time.Time{}
	}
	var candidates []string
	for addr, me := range gr.members {
		if me.asOf > ownRev && gr.membership.Alive(addr) {
			candidates = append(candidates, addr)
		}
	}
	if len(candidates) == 0 {
		return "", time.Time{}
	}
	return gr.pickOne(candidates)
}

// pickOne draws the peer that is asked next.
func (gr *Group) pickOne(candidates []string) (string, time.Time) {
	gr.fetching = true
	addr := candidates[gr.Rand.Uint64()%uint64(len(candidates))]
	return addr, gr.members[addr].confirmed
}

func (gr *Group) configInForce() route.Version {
	if gr.InForce == nil {
		return 0
	}
	return gr.InForce()
}

// minFullFetchInterval is the least time between two fetches of all that a peer knows.
const minFullFetchInterval = time.Second

// pickAheadInConfig is ahead for a peer with a later configuration in force. This router may know as
// much of the store, which came back from a copy before the configuration was accepted.
func (gr *Group) pickAheadInConfig() (string, time.Time) {
	ownConfig := gr.configInForce()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.fetching || time.Since(gr.lastFullFetch) < minFullFetchInterval {
		return "", time.Time{}
	}
	var candidates []string
	for addr, me := range gr.members {
		if me.config > ownConfig && gr.membership.Alive(addr) {
			candidates = append(candidates, addr)
		}
	}
	if len(candidates) == 0 {
		return "", time.Time{}
	}
	gr.lastFullFetch = time.Now()
	return gr.pickOne(candidates)
}

// fetch takes over what a peer knows beyond a revision.
func (gr *Group) fetch(ctx context.Context, addr string, after core.Version) error {
	base := gr.Mirror.Largest()
	its, size, err := fetchItems(ctx, addr, &fetchRequest{after, base.Key, base.Rev}, base.Value)
	if errors.Is(err, errBase) {
		its, size, err = fetchItems(ctx, addr, &fetchRequest{After: after}, nil)
	}
	if err != nil {
		return err
	}
	if its.Whole {
		gr.Mirror.Replace(its.Items, its.AsOf)
	} else {
		gr.Mirror.Apply(its.Items, its.AsOf)
	}
	gr.Log.Info("Learned from a peer.", zap.String("Addr", addr), zap.Int("Items", len(its.Items)), zap.Bool("Whole", its.Whole),
		zap.Int("Bytes", size), zap.Stringer("After", after), zap.Stringer("AsOf", its.AsOf))
	return nil
}

// errBase: an answer cannot be unpacked. The peer may have another value under the version that it was
// packed against, where the store came back from a copy.
var errBase = errors.New("unpack a peer's parcel")

// fetchItems asks a peer, and returns the size of its answer too.
func fetchItems(ctx context.Context, addr string, fr *fetchRequest, base []byte) (*items, int, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ItemsPath+"?"+fr.query(), nil)
	if err != nil {
		return nil, 0, err
	}
	rs, err := httpClient.Do(rq)
	if err != nil {
		return nil, 0, err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("peer answered %s", rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxItemsBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("read a peer's items: %w", err)
	}
	var packed packedResponse
	if err = cbor.Unmarshal(data, &packed); err != nil {
		return nil, 0, fmt.Errorf("decode a peer's parcel: %w", err)
	}
	switch packed.Base {
	case 0:
		base = nil
	case fr.Rev:
	default:
		return nil, 0, fmt.Errorf("a peer packed against version %s, asked for %s", packed.Base, fr.Rev)
	}
	plain, err := delta.Unpack(packed.Packed, base, maxItemsBytes)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errBase, err)
	}
	its := new(items)
	if err = cbor.Unmarshal(plain, its); err != nil {
		return nil, 0, fmt.Errorf("decode a peer's items: %w", err)
	}
	return its, len(data), nil
}
