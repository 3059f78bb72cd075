package place_test

import (
	"fmt"
	"math"
	"testing"

	"almondrill/core"
	"almondrill/core/place"
)

// Guards against refusing ordinary customers: a pool is nearly full, and each of hundreds of
// routers has some twenty calls of forty customers with equal loads, so that a customer has two or
// three calls by chance. Mistaken for one that floods the pool, it is refused while others get the
// last slots.
func TestSmallSamplesMakeNoCustomerHeavy(t *testing.T) {
	t.Parallel()
	const (
		routers, customers = 400, 40
		engines, slots     = 100, 16
		// otherCalls are the calls of peers. With the own 20 they take 0.95 of the slots.
		own, otherCalls = 20, 1500
	)
	ra := newRand(1)
	refused, asked := 0, 0
	for router := range uint64(routers) {
		pl := newPlacer(routers)
		pl.Rand = newRand(router)
		for ix := range engines {
			en := endpoint(ix)
			en.Slots = slots
			pl.Register(begin, en)
			pl.ApplyCount(begin, place.EndpointHash(en.ID, 0), otherCalls/engines)
		}
		for range own {
			if _, rf := pl.Pick(begin, customerRequest(customer(ra.IntN(customers)))); rf != nil {
				t.Fatal(rf)
			}
		}
		// The pool has 1,680 calls by now, 1.05 of its slots: heavy customers get 0.99.
		for ix := range engines {
			pl.ApplyCount(begin.Add(1), place.EndpointHash(endpoint(ix).ID, 0), 16+ix%5/4)
		}
		tk, rf := pl.Pick(begin.Add(2), customerRequest(customer(ra.IntN(customers))))
		asked++
		if rf != nil {
			refused++
			continue
		}
		tk.Done(begin.Add(2), place.Served)
	}
	// One in forty may be refused: up to three deviations above that are chance.
	most := asked/customers + int(3*math.Sqrt(float64(asked)/customers))
	if refused > most {
		t.Errorf("%d of %d calls of customers with equal loads were refused, want at most %d", refused, asked, most)
	}
}

func customer(ix int) core.CustomerID { return core.CustomerID(fmt.Sprint("customer", ix)) }

func customerRequest(id core.CustomerID) *place.Request {
	return &place.Request{Pool: pool, Engine: true, Customer: id}
}
