package conf

import (
	"fmt"
	"reflect"
	"strings"

	"almondrill/core/decl"
)

// Markdown returns the content of docs/SETTINGS.md, which is generated from the settings types so
// that the page always agrees with them.
func Markdown() string {
	var out strings.Builder
	out.WriteString(`# Settings and declarations

Generated from the settings types by ` + "`go test ./io/conf -update`" + `; a test fails if it is stale.

Both files are YAML with keys in Pascal case. Durations have a unit (250ms, 10s,
2m). An unknown key, a wrong unit or a missing value is an error with file and line.

## Settings of a process

Given with ` + "`almondrill router -settings FILE` or `almondrill agent -settings FILE`" + `,
checked with ` + "`almondrill check -role router FILE`" + `.

`)
	writeSection(&out, reflect.TypeFor[Settings]())
	writeHeading(&out, "Endpoints", "one entry for each endpoint on the agent's VM", reflect.TypeFor[EndpointSetting]())
	writeHeading(&out, "Operators", "one entry for each operator who may call the router", reflect.TypeFor[OperatorSetting]())
	out.WriteString("## Settings of a router without agents\n\nRead by `almondrill relay`, checked with `almondrill check -role relay FILE`.\n\n")
	writeSection(&out, reflect.TypeFor[RelaySettings]())
	out.WriteString("## Declarations\n\nAccepted with `almondrill apply`, checked with `almondrill check FILE`.\n\n")
	writeSection(&out, reflect.TypeFor[decl.Document]())
	writeHeading(&out, "Customers", "", reflect.TypeFor[decl.Customer]())
	writeHeading(&out, "Pools", "engines that serve the same model", reflect.TypeFor[decl.Pool]())
	writeHeading(&out, "Services", "plain services", reflect.TypeFor[decl.Service]())
	writeHeading(&out, "Endpoints (declared)", "checks that an endpoint makes itself; one that is not declared makes none", reflect.TypeFor[decl.Endpoint]())
	return strings.TrimRight(out.String(), "\n") + "\n"
}

func writeHeading(out *strings.Builder, title, what string, ty reflect.Type) {
	fmt.Fprintf(out, "### %s\n\n", title)
	if what != "" {
		fmt.Fprintf(out, "%s.\n\n", strings.ToUpper(what[:1])+what[1:])
	}
	writeSection(out, ty)
}

func writeSection(out *strings.Builder, ty reflect.Type) {
	out.WriteString("| key | type | needed | meaning |\n|---|---|---|---|\n")
	writeFields(out, ty)
	out.WriteString("\n")
}

func writeFields(out *strings.Builder, ty reflect.Type) {
	for ix := range ty.NumField() {
		fi := ty.Field(ix)
		if fi.Anonymous {
			writeFields(out, fi.Type)
			continue
		}
		key, _, _ := strings.Cut(fi.Tag.Get("yaml"), ",")
		fmt.Fprintf(out, "| %s | %s | %s | %s |\n", key, typeName(fi.Type), fi.Tag.Get("need"), fi.Tag.Get("doc"))
	}
}

func typeName(ty reflect.Type) string {
	switch {
	case ty.String() == "time.Duration":
		return "duration"
	case ty.Kind() == reflect.Slice:
		return "list"
	case ty.Kind() == reflect.Map:
		return "map"
	case ty.Kind() == reflect.String:
		return "text"
	case ty.Kind() == reflect.Bool:
		return "true or false"
	}
	return "number"
}
