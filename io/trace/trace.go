// Package trace reads the logs of routers and selects the lines that explain what happened to a
// request, at an endpoint, or in an interval of time.
//
// # Concepts
//
// A Line is one JSON log line of one process. Lines of several processes are sorted by their
// timestamps; the clocks of VMs may differ by milliseconds. The trace of a request consists of its
// own lines, and of earlier ones that show the state on which its VM acted: the configuration in
// force, the connection to the store, and the endpoints to which the request went.
//
// # Usage
//
//	lines, skipped, err := trace.Read(reader)
//	for _, li := range trace.ForRequest(lines, "9c41d07be2a35f68") { fmt.Println(li) }
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
	// Endpoint is the endpoint concerned. Peer is the process or endpoint that failed, if any.
	Endpoint string
	Peer     string
	// Fields are all other fields, as decoded from JSON.
	Fields map[string]any
}

// Skipped counts lines of the input that were skipped.
type Skipped struct {
	// NoLog is the number of lines that contain no JSON log line.
	NoLog int
}

// maxLineBytes bounds the length of an input line.
const maxLineBytes = 1 << 20

// namedFields are the log fields for which Line has a field of its own.
var namedFields = []string{"Time", "Level", "Part", "VM", "Message", "Request", "Endpoint", "Peer"}

// Read reads log lines and sorts them by time. Text before a line's opening brace is ignored, so
// that logs to which a collector added prefixes can be read too.
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

// timeLayout is the format of times in the logs.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// ForRequest returns the trace of a request, or nil if the logs do not contain it. The request's own
// lines come last. Before them are the latest earlier lines of its VM about its process, the
// configuration, the store and the endpoints that the request's lines name, and all lines of any
// router about the request's quarantine, and about crashes of endpoints that executed it, under this
// id or another.
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
			for _, part := range li.listField("Parts") {
				fingerprints[part] = true
			}
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

// crashLines returns the lines that mention one of the fingerprints and belong to no single attempt.
func crashLines(lines []Line, fingerprints map[string]bool) []Line {
	var out []Line
	for _, li := range lines {
		if li.Request != "" {
			continue
		}
		listed := append(li.listField("Ran"), li.listField("Parts")...)
		named := slices.ContainsFunc(listed, func(fp string) bool { return fingerprints[fp] })
		if named || fingerprints[li.stringField("Fingerprint")] {
			out = append(out, li)
		}
	}
	return out
}

// listField returns the texts of a field that is a list.
func (li *Line) listField(field string) []string {
	list, _ := li.Fields[field].([]any)
	var texts []string
	for _, one := range list {
		if text, ok := one.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

func (li *Line) stringField(field string) string {
	value, _ := li.Fields[field].(string)
	return value
}

// viewBefore returns, for each VM, the last lines up to a time that show its view of the
// configuration, of the store, of the endpoints and of its own process.
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

// ForEndpoint returns the trace of an endpoint: the lines about its state, and those about requests
// that failed there.
func ForEndpoint(lines []Line, id string) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(li Line) bool {
		concerned := li.Endpoint == id || li.Peer == id
		return !concerned || li.Request != "" && li.Message == servedMessage
	})
}

// servedMessage is the message of requests that succeeded.
const servedMessage = "Served."

// Between returns the lines from one time to another, without those of requests that succeeded.
func Between(lines []Line, from, to time.Time) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(li Line) bool {
		return li.Time.Before(from) || li.Time.After(to) || li.Message == servedMessage
	})
}

// String formats the line for people.
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
