package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	"almondrill/io/strict"
)

// ItemsPath serves the items of the store that this router knows. The query says what the client
// has already, see fetchRequest.
const ItemsPath = "/gossip/items"

const (
	// fetchTimeout bounds a fetch: a configuration of a megabyte, packed to a quarter, takes 200 ms
	// on a link of 10 Mbit/s, and a busy peer some 100 ms.
	fetchTimeout = time.Second
	// maxItemsBytes bounds a peer's response, packed and unpacked.
	maxItemsBytes = 8 << 20
)

// items is what a router knows of the store, all of it or the changes after a revision.
type items struct {
	AsOf  core.Version `cbor:"1,keyasint"`
	Items []core.Item  `cbor:"2,keyasint"`
	// Whole is set if Items are complete: an item that is not among them is deleted.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// packedResponse is a peer's response: items, packed against a value that the client has.
type packedResponse struct {
	// Base is the revision of that value, 0 if there is none.
	Base   core.Version `cbor:"1,keyasint,omitempty"`
	Packed []byte       `cbor:"2,keyasint"`
}

// fetchRequest is what a router sends to fetch updates: the revision up to which it knows
// everything, and its largest item, usually the operator's configuration, to pack the response
// against.
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

// responseCache holds the responses that were packed for one revision of the mirror. After a
// change, peers send the same request within a fraction of a second.
type responseCache struct {
	mu     sync.Mutex // guards all below; packing happens under it, one response at a time
	asOf   core.Version
	packed map[fetchRequest][]byte
}

// maxWholeResponses bounds how many peers without any contents are served at once. On a link of
// 10 Mbit/s, four responses of 150 KB take half of fetchTimeout; with more, none would end in time.
const maxWholeResponses = 4

// errBusyPeer: the peer serves as many others as it can; another may have the contents as well.
var errBusyPeer = errors.New("peer is busy")

// maxResponses bounds the cached responses; peers that lag are rarely at many different revisions.
const maxResponses = 16

func (rc *responseCache) get(fr fetchRequest, mi *mirror.Mirror) ([]byte, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	changes, asOf, whole := mi.Since(fr.After)
	if rc.packed == nil || asOf != rc.asOf || len(rc.packed) >= maxResponses {
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

// Handler serves what this router knows of the store, at ItemsPath.
func (gr *Group) Handler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		fr, err := parseFetchRequest(hr.URL.Query())
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		if fr.After == 0 {
			defer gr.wholeResponses.Add(-1)
			if gr.wholeResponses.Add(1) > maxWholeResponses {
				http.Error(wr, errBusyPeer.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		data, err := gr.responses.get(fr, gr.Mirror)
		if err != nil {
			gr.Log.Error("Packing changes for a peer failed.", zap.Stringer("After", fr.After), zap.Error(err))
			http.Error(wr, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = wr.Write(data) // a peer that has disconnected asks another one
	})
}

var httpClient = &http.Client{
	Timeout: fetchTimeout,
	Transport: &strict.Transport{Base: &http.Transport{
		DialContext: strict.WatchConns(new(net.Dialer).DialContext), DisableKeepAlives: true,
	}},
}

// fetchUpdates fetches what a peer knows beyond this router's mirror. It does so also while the
// first listing waits for a store that does not respond: the peer's response is the first to arrive
// then.
func (gr *Group) fetchUpdates(ctx context.Context) {
	ownRev := gr.Mirror.AsOf()
	if ownRev == 0 && !gr.Feed.Unresponsive() {
		// The first listing is in progress. Where hundreds of routers start at once, all others
		// would fetch the whole state from the first one that has it.
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
		if errors.Is(err, errBusyPeer) {
			return
		}
		if err != nil {
			gr.Log.Warn("Fetching changes from a peer failed.", zap.String("Addr", addr), zap.Error(err))
			return
		}
		gr.Feed.Confirm(time.Since(confirmed))
	}()
}

// pickAhead returns the address of a random peer with a revision beyond ownRev, and when the store
// confirmed that; "" if there is none or a fetch is in progress.
//
// It draws among all that are ahead: hundreds of routers that have just started would all ask the
// one with the latest revision, whose link could not serve them within fetchTimeout.
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

// pickOne draws the peer to fetch from, and marks the fetch as in progress.
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

// minFullFetchInterval is the minimum interval between two fetches of a peer's whole state.
const minFullFetchInterval = time.Second

// pickAheadInConfig is pickAhead for a peer with a later configuration in force. This router's
// revision may be as high as the peer's, where the store was restored from a backup made before the
// configuration was accepted.
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

// fetch applies to the mirror what a peer knows beyond a revision.
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
	gr.Log.Info("Fetched changes from a peer.", zap.String("Addr", addr), zap.Int("Items", len(its.Items)), zap.Bool("Whole", its.Whole),
		zap.Int("Bytes", size), zap.Stringer("After", after), zap.Stringer("AsOf", its.AsOf))
	return nil
}

// errBase: a response cannot be unpacked. If the store was restored from a backup, the peer may
// have another value under the version that the response is packed against.
var errBase = errors.New("unpack a peer's response")

// fetchItems sends a request to a peer, and also returns the size of the response.
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
	if rs.StatusCode == http.StatusServiceUnavailable {
		return nil, 0, errBusyPeer
	}
	if rs.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("peer responded with status %s", rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxItemsBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("read a peer's response: %w", err)
	}
	var packed packedResponse
	if err = cbor.Unmarshal(data, &packed); err != nil {
		return nil, 0, fmt.Errorf("decode a peer's response: %w", err)
	}
	switch packed.Base {
	case 0:
		base = nil
	case fr.Rev:
	default:
		return nil, 0, fmt.Errorf("peer packed against version %s, requested %s", packed.Base, fr.Rev)
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
