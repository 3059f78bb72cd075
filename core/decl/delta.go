package decl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"almondrill/core"
)

// Delta is the change from the document of revision Revision-1 to that of Revision.
type Delta struct {
	Revision core.Revision
	// ID is the name that the operator who applies the change gives it; a retry has the same one.
	ID string
	// Author is who applied the change, Source the commit that it comes from.
	Author string
	Source string
	// Note describes the change, such as "rollback to 12".
	Note   string `json:",omitempty"`
	At     time.Time
	Set    Document
	Remove Names
}

// Names lists objects by kind.
type Names struct {
	Customers []core.CustomerID `json:",omitempty"`
	Pools     []core.PoolID     `json:",omitempty"`
	Services  []core.PoolID     `json:",omitempty"`
	Endpoints []core.EndpointID `json:",omitempty"`
}

// Encode encodes the delta for the KV and for other processes.
func (de *Delta) Encode() ([]byte, error) { return json.Marshal(de) }

// DecodeDelta decodes a delta that Encode encoded.
func DecodeDelta(data []byte) (*Delta, error) {
	var de Delta
	if err := json.Unmarshal(data, &de); err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return &de, nil
}

// Empty reports whether the delta changes nothing.
func (de *Delta) Empty() bool { return len(de.Lines()) == 0 }

// Lines describes the delta for operators, one line for each object set or removed.
func (de *Delta) Lines() []string {
	var lines []string
	lines = append(lines, formatLines("set Customer ", de.Set.Customers, customerName)...)
	lines = append(lines, formatLines("set Pool ", de.Set.Pools, poolName)...)
	lines = append(lines, formatLines("set Service ", de.Set.Services, serviceName)...)
	lines = append(lines, formatLines("set Endpoint ", de.Set.Endpoints, endpointName)...)
	lines = append(lines, formatLines("remove Customer ", de.Remove.Customers, identity)...)
	lines = append(lines, formatLines("remove Pool ", de.Remove.Pools, identity)...)
	lines = append(lines, formatLines("remove Service ", de.Remove.Services, identity)...)
	return append(lines, formatLines("remove Endpoint ", de.Remove.Endpoints, identity)...)
}

func formatLines[T any, K ~string](verb string, items []T, name func(T) K) []string {
	lines := make([]string, 0, len(items))
	for _, it := range items {
		lines = append(lines, verb+string(name(it)))
	}
	return lines
}

func customerName(cu Customer) core.CustomerID { return cu.Name }
func poolName(po Pool) core.PoolID             { return po.Name }
func serviceName(se Service) core.PoolID       { return se.Name }
func endpointName(ep Endpoint) core.EndpointID { return ep.Name }
func identity[K ~string](name K) K             { return name }

// Apply returns the document that results from the delta; doc itself is not changed.
func Apply(doc *Document, de *Delta) *Document {
	return &Document{
		Customers: mergeItems(doc.Customers, de.Set.Customers, de.Remove.Customers, customerName),
		Pools:     mergeItems(doc.Pools, de.Set.Pools, de.Remove.Pools, poolName),
		Services:  mergeItems(doc.Services, de.Set.Services, de.Remove.Services, serviceName),
		Endpoints: mergeItems(doc.Endpoints, de.Set.Endpoints, de.Remove.Endpoints, endpointName),
	}
}

// Diff returns the delta from one document to another.
func Diff(from, to *Document) *Delta {
	de := &Delta{}
	de.Set.Customers, de.Remove.Customers = diffItems(from.Customers, to.Customers, customerName)
	de.Set.Pools, de.Remove.Pools = diffItems(from.Pools, to.Pools, poolName)
	de.Set.Services, de.Remove.Services = diffItems(from.Services, to.Services, serviceName)
	de.Set.Endpoints, de.Remove.Endpoints = diffItems(from.Endpoints, to.Endpoints, endpointName)
	return de
}

// mergeItems returns old with the items of set added or replaced and those named in remove left out.
// The result is sorted by name, so that documents with the same content are equal whatever the
// order of the changes was.
func mergeItems[T any, K cmp.Ordered](old, set []T, remove []K, name func(T) K) []T {
	byName := make(map[K]T, len(old)+len(set))
	for _, it := range old {
		byName[name(it)] = it
	}
	for _, it := range set {
		byName[name(it)] = it
	}
	for _, key := range remove {
		delete(byName, key)
	}
	if len(byName) == 0 {
		return nil
	}
	merged := make([]T, 0, len(byName))
	for _, it := range byName {
		merged = append(merged, it)
	}
	slices.SortFunc(merged, func(one, two T) int { return cmp.Compare(name(one), name(two)) })
	return merged
}

// equalEncoded compares the JSON encodings, in which an empty field equals one that is left out.
func equalEncoded[T any](one, two T) bool {
	left, errLeft := json.Marshal(one)
	right, errRight := json.Marshal(two)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

func diffItems[T any, K cmp.Ordered](from, to []T, name func(T) K) (set []T, remove []K) {
	before := make(map[K]T, len(from))
	for _, it := range from {
		before[name(it)] = it
	}
	for _, it := range to {
		old, known := before[name(it)]
		if !known || !equalEncoded(old, it) {
			set = append(set, it)
		}
		delete(before, name(it))
	}
	for key := range before {
		remove = append(remove, key)
	}
	slices.Sort(remove)
	return set, remove
}
