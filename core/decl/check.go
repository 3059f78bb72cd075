package decl

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
)

// Problem is one error in a document. Object is the kind and name of the faulty object, such as
// "Pool chat"; Field is empty if the problem concerns the object as a whole.
type Problem struct {
	Object string
	Field  string
	Text   string
}

// String formats the problem, such as "Pool chat: LoadFactor: must be at least 1".
func (pr Problem) String() string {
	if pr.Field == "" {
		return fmt.Sprintf("%s: %s", pr.Object, pr.Text)
	}
	return fmt.Sprintf("%s: %s: %s", pr.Object, pr.Field, pr.Text)
}

// HashName returns the stable 64-bit hash of a name. Placement depends on it.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// namePattern keeps names usable in URLs, headers and KV keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// maxHeadroom leaves some slots to customers that exceed their share.
const maxHeadroom = 0.9

const maxLoadFactor = 100

type checker struct {
	problems  []Problem
	groups    map[core.PoolID]bool
	names     map[string]bool
	keyOwners map[string]core.CustomerID
}

// Check lists all problems of a document.
func Check(doc *Document) []Problem {
	ch := &checker{groups: map[core.PoolID]bool{}, names: map[string]bool{}, keyOwners: map[string]core.CustomerID{}}
	for _, po := range doc.Pools {
		ch.pool(po)
	}
	for _, se := range doc.Services {
		ch.service(se)
	}
	for _, cu := range doc.Customers {
		ch.customer(cu)
	}
	for _, ep := range doc.Endpoints {
		ch.name("Endpoint", "Endpoint", string(ep.Name))
	}
	return ch.problems
}

func (ch *checker) add(object, field, format string, args ...any) {
	ch.problems = append(ch.problems, Problem{object, field, fmt.Sprintf(format, args...)})
}

// name checks the form of a name and that it is unique in its namespace: pools and services share
// one. It returns the object's kind and name.
func (ch *checker) name(kind, space, name string) string {
	object := kind + " " + name
	if !namePattern.MatchString(name) {
		ch.add(object, "Name", "must be 1 to 63 letters, digits, '.', '_' or '-', and start with a letter or digit")
	}
	if ch.names[space+"/"+name] {
		ch.add(object, "Name", "is declared twice")
	}
	ch.names[space+"/"+name] = true
	return object
}

func (ch *checker) pool(po Pool) {
	object := ch.name("Pool", "Group", string(po.Name))
	ch.groups[po.Name] = true
	if po.Model == "" {
		ch.add(object, "Model", "is missing")
	}
	if !slices.Contains([]string{"", "Both", "Prefill", "Decode"}, po.Role) {
		ch.add(object, "Role", "must be Prefill, Decode or Both, not %q", po.Role)
	}
	if po.ReuseBias < 0 || math.IsNaN(po.ReuseBias) {
		ch.add(object, "ReuseBias", "must not be negative")
	}
	if po.Minimum < 0 {
		ch.add(object, "Minimum", "must not be negative")
	}
	ch.limits(object, po.Limits)
}

func (ch *checker) service(se Service) {
	object := ch.name("Service", "Group", string(se.Name))
	ch.groups[se.Name] = true
	ch.limits(object, se.Limits)
}

func (ch *checker) limits(object string, li Limits) {
	if li.LoadFactor != 0 && !(li.LoadFactor >= 1 && li.LoadFactor <= maxLoadFactor) {
		ch.add(object, "LoadFactor", "must be from 1 to %d, not %g", maxLoadFactor, li.LoadFactor)
	}
	if li.FloorWork < 0 {
		ch.add(object, "FloorWork", "must not be negative")
	}
	if li.Slots < 0 {
		ch.add(object, "Slots", "must not be negative")
	}
	if !(li.Headroom >= 0 && li.Headroom < maxHeadroom) {
		ch.add(object, "Headroom", "must be from 0 to below %g, not %g", maxHeadroom, li.Headroom)
	}
	if li.QueueCalls < 0 {
		ch.add(object, "QueueCalls", "must not be negative")
	}
}

func (ch *checker) customer(cu Customer) {
	object := ch.name("Customer", "Customer", string(cu.Name))
	if cu.MaxPriority >= core.PriorityCount {
		ch.add(object, "MaxPriority", "must be from 0 to %d, not %d", core.PriorityCount-1, cu.MaxPriority)
	}
	for _, sum := range cu.KeyHashes {
		ch.keyHash(object, cu.Name, sum)
	}
	for _, id := range sortedKeys(cu.Shares) {
		if !ch.groups[id] {
			ch.add(object, "Shares", "names %q, which is no pool or service", id)
		}
		if share := cu.Shares[id]; !(share > 0) || math.IsInf(share, 0) {
			ch.add(object, "Shares", "of %q must be above 0, not %g", id, share)
		}
	}
}

func (ch *checker) keyHash(object string, owner core.CustomerID, sum string) {
	const bytesOfSHA256 = 32
	if raw, err := hex.DecodeString(sum); err != nil || len(raw) != bytesOfSHA256 {
		ch.add(object, "KeyHashes", "%q is not 64 hexadecimal digits", sum)
		return
	}
	if other, taken := ch.keyOwners[sum]; taken {
		ch.add(object, "KeyHashes", "holds a key that customer %s has too", other)
	}
	ch.keyOwners[sum] = owner
}

func sortedKeys(shares map[core.PoolID]float64) []core.PoolID {
	ids := make([]core.PoolID, 0, len(shares))
	for id := range shares {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
