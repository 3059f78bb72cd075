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
	// mostItems bounds what is read of a peer's answer, and what comes out of it.
	mostItems = 8 << 20
)

// items is what a peer knows.
type items struct {
	AsOf  core.Version `cbor:"1,keyasint"`
	Items []core.Item  `cbor:"2,keyasint"`
	// Whole is set if Items are all there are: what is not among them is deleted.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// parcel is a peer's answer: items, packed against a value that the asker has.
type parcel struct {
	// Base is the revision of that value, 0 if there is none.
	Base   core.Version `cbor:"1,keyasint,omitempty"`
	Packed []byte       `cbor:"2,keyasint"`
}

// ask is what a router tells when it fetches: the revision up to which it knows all, and
// its largest item, the operator's configuration as a rule, to pack the answer against.
type ask struct {
	After core.Version
	Key   string
	Rev   core.Version
}

func (as *ask) query() string {
	return url.Values{
		"After": {strconv.FormatUint(uint64(as.After), 10)}, "Key": {as.Key}, "Rev": {strconv.FormatUint(uint64(as.Rev), 10)},
	}.Encode()
}

func readAsk(query url.Values) (ask, error) {
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	if err != nil {
		return ask{}, fmt.Errorf("no revision in After: %q", query.Get("After"))
	}
	rev, err := strconv.ParseUint(cmp.Or(query.Get("Rev"), "0"), 10, 64)
	if err != nil {
		return ask{}, fmt.Errorf("no revision in Rev: %q", query.Get("Rev"))
	}
	return ask{core.Version(after), query.Get("Key"), core.Version(rev)}, nil
}

// parcels are the answers that were made of the mirror at one revision. After a change,
// peers ask for the same within a fraction of a second.
type parcels struct {
	mu   sync.Mutex // guards all below, and lets one goroutine at a time pack
	asOf core.Version
	made map[ask][]byte
}

// mostParcels bounds the answers kept; peers are rarely behind by different amounts.
const mostParcels = 16

func (pa *parcels) get(as ask, mi *mirror.Mirror) ([]byte, error) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	news, asOf, whole := mi.Since(as.After)
	if asOf != pa.asOf || len(pa.made) >= mostParcels {
		pa.asOf, pa.made = asOf, map[ask][]byte{}
	}
	if data := pa.made[as]; data != nil {
		return data, nil
	}
	plain, err := cbor.Marshal(&items{AsOf: asOf, Items: news, Whole: whole})
	if err != nil {
		return nil, err
	}
	base := mi.Value(as.Key, as.Rev)
	out := parcel{}
	if len(base) > 0 {
		out.Base = as.Rev
	}
	if out.Packed, err = delta.Pack(plain, base); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(&out)
	if err == nil {
		pa.made[as] = data
	}
	return data, err
}

// Handler tells what this router knows of the store.
func (gr *Group) Handler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		as, err := readAsk(hr.URL.Query())
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := gr.parcels.get(as, gr.Mirror)
		if err != nil {
			gr.Log.Error("Packing news for a peer failed.", zap.Stringer("After", as.After), zap.Error(err))
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

// catchUp fetches what the peer that knows most knows beyond the own mirror, also while
// the own first listing waits for a store that is silent: a peer's answer is the first to
// come then.
func (gr *Group) catchUp(ctx context.Context) {
	own := gr.Mirror.AsOf()
	if own == 0 && !gr.Feed.Unresponsive() {
		// The own listing is on its way. Where hundreds start at once, the first that
		// knows anything would be asked for all of it by all others.
		return
	}
	addr, confirmed := gr.ahead(own)
	after := own
	if addr == "" {
		addr, confirmed = gr.aheadInConfig()
		after = 0
	}
	if addr == "" {
		return
	}
	go func() {
		err := gr.fetch(ctx, addr, after)
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

// ahead is the address of a peer that knows a revision beyond own, and when the store
// confirmed it; "" if none does or a fetch is under way.
//
// It is drawn among all that are ahead: hundreds of routers that have just started would all ask
// the one that knows most, whose link could not serve them within fetchTimeout.
func (gr *Group) ahead(own core.Version) (string, time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.fetched {
		return "", time.Time{}
	}
	var among []string
	for addr, me := range gr.members {
		if me.asOf > own && gr.alive.Alive(addr) {
			among = append(among, addr)
		}
	}
	if len(among) == 0 {
		return "", time.Time{}
	}
	return gr.oneOf(among)
}

// oneOf draws the peer that is asked next.
func (gr *Group) oneOf(among []string) (string, time.Time) {
	gr.fetched = true
	one := among[gr.Rand.Uint64()%uint64(len(among))]
	return one, gr.members[one].confirmed
}

func (gr *Group) inForce() route.Version {
	if gr.InForce == nil {
		return 0
	}
	return gr.InForce()
}

// wholeGap is the least time between two fetches of all that a peer knows.
const wholeGap = time.Second

// aheadInConfig is ahead for a peer with a later configuration in force. This router may know as
// much of the store, which came back from a copy before the configuration was accepted.
func (gr *Group) aheadInConfig() (string, time.Time) {
	own := gr.inForce()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.fetched || time.Since(gr.wholeFetch) < wholeGap {
		return "", time.Time{}
	}
	var among []string
	for addr, me := range gr.members {
		if me.config > own && gr.alive.Alive(addr) {
			among = append(among, addr)
		}
	}
	if len(among) == 0 {
		return "", time.Time{}
	}
	gr.wholeFetch = time.Now()
	return gr.oneOf(among)
}

// fetch takes over what a peer knows beyond a revision.
func (gr *Group) fetch(ctx context.Context, addr string, after core.Version) error {
	base := gr.Mirror.Largest()
	its, size, err := fetchItems(ctx, addr, &ask{after, base.Key, base.Rev}, base.Value)
	if errors.Is(err, errBase) {
		its, size, err = fetchItems(ctx, addr, &ask{After: after}, nil)
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
func fetchItems(ctx context.Context, addr string, as *ask, base []byte) (*items, int, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ItemsPath+"?"+as.query(), nil)
	if err != nil {
		return nil, 0, err
	}
	rs, err := client.Do(rq)
	if err != nil {
		return nil, 0, err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("peer answered %s", rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, mostItems))
	if err != nil {
		return nil, 0, fmt.Errorf("read a peer's items: %w", err)
	}
	var pa parcel
	if err = cbor.Unmarshal(data, &pa); err != nil {
		return nil, 0, fmt.Errorf("decode a peer's parcel: %w", err)
	}
	switch pa.Base {
	case 0:
		base = nil
	case as.Rev:
	default:
		return nil, 0, fmt.Errorf("a peer packed against version %s, asked for %s", pa.Base, as.Rev)
	}
	plain, err := delta.Unpack(pa.Packed, base, mostItems)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errBase, err)
	}
	its := new(items)
	if err = cbor.Unmarshal(plain, its); err != nil {
		return nil, 0, fmt.Errorf("decode a peer's items: %w", err)
	}
	return its, len(data), nil
}
