package conf

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	yaml "go.yaml.in/yaml/v3"
)

// Problems is an error that lists all problems of a file, each with file and line.
type Problems []string

// Error returns the problems, one per line.
func (pr Problems) Error() string { return strings.Join(pr, "\n") }

// DecodeStrict decodes a YAML document into out. Unknown keys, values of the wrong type or unit, and
// further documents are errors, which it returns as Problems.
func DecodeStrict(file string, data []byte, out any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(out)
	if err != nil && !errors.Is(err, io.EOF) {
		return fileProblems(file, err)
	}
	var more yaml.Node
	if err == nil && !errors.Is(dec.Decode(&more), io.EOF) {
		return Problems{fmt.Sprintf("%s:%d: only one YAML document is expected", file, max(1, more.Line))}
	}
	return nil
}

// fileProblems converts an error of the YAML library to Problems of the form "file:line: problem".
func fileProblems(file string, err error) error {
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		return Problems{withLine(file, strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	var pr Problems
	for _, text := range types.Errors {
		pr = append(pr, withLine(file, explainTypeError(text)))
	}
	return pr
}

func withLine(file, text string) string {
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if line, what, ok := strings.Cut(rest, ": "); ok {
			return fmt.Sprintf("%s:%s: %s", file, line, what)
		}
	}
	return fmt.Sprintf("%s:1: %s", file, text)
}

// explainTypeError rewrites a message of the YAML library that names a Go type, so that it states
// what was expected in the file.
func explainTypeError(text string) string {
	text = strings.ReplaceAll(text, "into time.Duration", "as a duration with a unit, such as 250ms or 10s")
	if at := strings.Index(text, " in type "); at >= 0 {
		text = strings.Replace(text[:at], "field ", "unknown key ", 1)
		text = strings.TrimSuffix(text, " not found")
		text += ": expected a key that docs/SETTINGS.md lists"
	}
	return text
}

// ObjectLines returns the line numbers of the objects in the sequences under top-level keys, and of
// the objects' fields: ObjectLines(data)["Pools/chat"] is the line of the pool with Name chat, and
// ObjectLines(data)["Pools/chat/Model"] that of its Model.
func ObjectLines(data []byte) map[string]int {
	lines := map[string]int{}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return lines
	}
	top := root.Content[0]
	for ix := 0; ix+1 < len(top.Content); ix += 2 {
		for _, item := range top.Content[ix+1].Content {
			addObjectLines(lines, top.Content[ix].Value, item)
		}
	}
	return lines
}

func addObjectLines(lines map[string]int, section string, item *yaml.Node) {
	name := ""
	for ix := 0; ix+1 < len(item.Content); ix += 2 {
		if item.Content[ix].Value == "Name" {
			name = item.Content[ix+1].Value
		}
	}
	lines[section+"/"+name] = item.Line
	for ix := 0; ix+1 < len(item.Content); ix += 2 {
		lines[section+"/"+name+"/"+item.Content[ix].Value] = item.Content[ix].Line
	}
}

// keyLines returns the line numbers of the top-level keys.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return lines
	}
	top := root.Content[0]
	for ix := 0; ix+1 < len(top.Content); ix += 2 {
		lines[top.Content[ix].Value] = top.Content[ix].Line
	}
	return lines
}
