// Package trace reads the logs of routers and tells what happened to a request, to
// an endpoint, or in a span of time.
//
// # Concepts
//
// A Line is one structured line of one process. Lines of several processes are put
// in order by their time of day, which may differ by milliseconds between VMs. A
// request's story is its own lines, and those before it that made its VM believe
// what it acted on: the configuration in force, and the endpoints it went to.
//
// # Usage
//
//	lines, stats, err := story.Read(reader)
//	for _, li := range story.Request(lines, "9c41d07be2a35f68") { fmt.Println(li) }
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Level   string
	Part    string
	VM      string
	Message string
	Request string
	// Endpoint is the endpoint concerned; Peer, in a failure, who failed.
	Endpoint string
	Peer     string
	// Fields are all others, as they stand in the log.
	Fields map[string]any
}

// Skipped counts what could not be read.
type Skipped struct {
	// NoLog are lines that hold no structured line.
	NoLog int
}

// maxLineBytes bounds a line.
const maxLineBytes = 1 << 20

// namedFields are the fields that Line has by name.
var namedFields = []string{"Time", "Level", "Part", "VM", "Message", "Request", "Endpoint", "Peer"}

// Read reads lines; what stands before a line's opening brace is ignored, so that
// logs which a collector has prefixed can be read too.
func Read(rd io.Reader) ([]Line, Skipped, error) {
	var lines []Line
	var sk Skipped
	scan := bufio.NewScanner(rd)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		li, ok := parse(scan.Bytes())
		if !ok {
			sk.NoLog++
			continue
		}
		lines = append(lines, li)
	}
	if err := scan.Err(); err != nil {
		return lines, sk, fmt.Errorf("read logs: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, sk, nil
}

func parse(data []byte) (Line, bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return Line{}, false
	}
	var li Line
	if json.Unmarshal(data[at:], &li.Fields) != nil {
		return Line{}, false
	}
	stringField := func(name string) string {
		value, _ := li.Fields[name].(string)
		return value
	}
	when, err := time.Parse(timeLayout, stringField("Time"))
	if err != nil || stringField("Message") == "" {
		return Line{}, false
	}
	li.Time, li.Level, li.Part, li.VM = when, stringField("Level"), stringField("Part"), stringField("VM")
	li.Message, li.Request, li.Endpoint, li.Peer = stringField("Message"), stringField("Request"), stringField("Endpoint"), stringField("Peer")
	for _, name := range namedFields {
		delete(li.Fields, name)
	}
	return li, true
}

// timeLayout is how the logs write times.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// ForRequest is the story of a request: its lines, and before them what its VM had last
// learned of the configuration and of the endpoints that its lines name, and what any router
// found out about it: which endpoints crashed while they ran it, under this id or another.
func ForRequest(lines []Line, id string) []Line {
	var found []Line
	endpoints := map[string]bool{}
	vms := map[string]bool{}
	fingerprints := map[string]bool{}
	for _, li := range lines {
		if li.Request == id {
			found = append(found, li)
			endpoints[li.Endpoint], endpoints[li.Peer] = true, true
			vms[li.VM] = true
			fingerprints[li.stringField("Fingerprint")] = true
		}
	}
	if len(found) == 0 {
		return nil
	}
	delete(endpoints, "")
	delete(fingerprints, "")
	before := viewBefore(lines, found[0].Time, vms, endpoints)
	before = append(before, crashLines(lines, fingerprints)...)
	slices.SortStableFunc(before, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return append(before, found...)
}

// crashLines are the lines about requests of these fingerprints as such, whichever attempt.
func crashLines(lines []Line, fingerprints map[string]bool) []Line {
	var out []Line
	for _, li := range lines {
		if li.Request != "" {
			continue
		}
		ran, _ := li.Fields["Ran"].([]any)
		named := slices.ContainsFunc(ran, func(one any) bool {
			fp, _ := one.(string)
			return fingerprints[fp]
		})
		if named || fingerprints[li.stringField("Fingerprint")] {
			out = append(out, li)
		}
	}
	return out
}

func (li *Line) stringField(field string) string {
	value, _ := li.Fields[field].(string)
	return value
}

// viewBefore finds the last lines before a time, by VM, that changed what it believed
// of the configuration, of the store and of the endpoints.
func viewBefore(lines []Line, until time.Time, vms, endpoints map[string]bool) []Line {
	last := map[string]Line{}
	for _, li := range lines {
		if li.Time.After(until) {
			break
		}
		if !vms[li.VM] || li.Request != "" {
			continue
		}
		switch {
		case endpoints[li.Endpoint]:
			last[li.VM+"/endpoint/"+li.Endpoint] = li
		case li.Part == "feeds":
			last[li.VM+"/store"] = li
		case strings.Contains(li.Message, "configuration"):
			last[li.VM+"/configuration"] = li
		case li.Part == "entry":
			last[li.VM+"/process"] = li
		}
	}
	var out []Line
	for _, li := range last {
		out = append(out, li)
	}
	slices.SortFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// ForEndpoint is the story of an endpoint: what was learned of it, and each request that
// did not end well there.
func ForEndpoint(lines []Line, id string) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(li Line) bool {
		concerned := li.Endpoint == id || li.Peer == id
		return !concerned || li.Request != "" && li.Message == servedMessage
	})
}

// servedMessage is the message of requests that ended well.
const servedMessage = "Served."

// Between is what happened from one time to another, but for requests that ended well.
func Between(lines []Line, from, to time.Time) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(li Line) bool {
		return li.Time.Before(from) || li.Time.After(to) || li.Message == servedMessage
	})
}

// String is the line for people.
func (li Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %-16s %-7s %s", li.Time.Format("15:04:05.000"), li.VM, li.Part, li.Message)
	for _, pair := range [][2]string{{"Request", li.Request}, {"Endpoint", li.Endpoint}, {"Peer", li.Peer}} {
		if pair[1] != "" {
			fmt.Fprintf(&out, " %s=%s", pair[0], pair[1])
		}
	}
	names := make([]string, 0, len(li.Fields))
	for name := range li.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%v", name, li.Fields[name])
	}
	return out.String()
}
