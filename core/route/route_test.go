package route_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/route"
)

func document(routes ...route.Route) *route.Document {
	for ix := range routes {
		ro := &routes[ix]
		ro.Timeout = time.Second
		ro.MaxAttempts = 1
		if ro.Host == "" {
			ro.Host = "a.example"
		}
		if ro.Split == nil {
			ro.Split = []route.PoolShare{{Pool: "chat", Weight: 1}}
		}
	}
	return &route.Document{Version: 7, Routes: routes, Pools: []route.Pool{{ID: "chat"}, {ID: "lookup"}}}
}

func compile(t *testing.T, doc *route.Document) *route.Table {
	t.Helper()
	ta, err := route.Compile(doc)
	if err != nil {
		t.Fatal(err)
	}
	return ta
}

func TestLongestPrefixWins(t *testing.T) {
	ta := compile(t, document(
		route.Route{Name: "all", Prefix: "/"},
		route.Route{Name: "deep", Prefix: "/a/b/"},
		route.Route{Name: "flat", Prefix: "/a/"},
		route.Route{Name: "other", Prefix: "/a/", Host: "b.example"},
	))
	for _, te := range []struct{ host, path, want string }{
		{"a.example", "/a/b/c", "deep"},
		{"a.example", "/a/bc", "flat"},
		{"A.Example:8080", "/a/b/", "deep"},
		{"a.example", "/x", "all"},
		{"b.example", "/a/b/c", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/a/", ""},
	} {
		got := ""
		if ro := ta.Find(te.host, te.path); ro != nil {
			got = ro.Name
		}
		if got != te.want {
			t.Errorf("%s%s: route %q, want %q", te.host, te.path, got, te.want)
		}
	}
}

// Regardless of the order of the routes, Find must return the one with the longest matching prefix.
func TestLongestPrefixInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "c"})
		var routes []route.Route
		seen := map[string]bool{}
		for range rapid.IntRange(1, 8).Draw(rt, "routes") {
			prefix := "/" + strings.Join(rapid.SliceOfN(segment, 1, 3).Draw(rt, "prefix"), "/") + "/"
			if !seen[prefix] {
				seen[prefix] = true
				routes = append(routes, route.Route{Name: prefix, Prefix: prefix})
			}
		}
		ta, err := route.Compile(document(routes...))
		if err != nil {
			rt.Fatal(err)
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(rt, "path"), "/") + "/"
		want := ""
		for prefix := range seen {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if ro := ta.Find("a.example", path); ro != nil {
			got = ro.Name
		}
		if got != want {
			rt.Fatalf("%s: route %q, want %q", path, got, want)
		}
	})
}

func TestSplitFollowsWeights(t *testing.T) {
	ta := compile(t, document(route.Route{Name: "r", Prefix: "/", Split: []route.PoolShare{
		{Pool: "chat", Weight: 90}, {Pool: "lookup", Weight: 10},
	}}))
	ro := ta.Find("a.example", "/x")
	for draw, want := range map[float64]core.PoolID{0: "chat", 0.899: "chat", 0.901: "lookup", 0.999999: "lookup"} {
		if got := ro.Pool(draw); got != want {
			t.Errorf("draw %g: pool %s, want %s", draw, got, want)
		}
	}
}

func TestCompileListsAllProblems(t *testing.T) {
	doc := document(
		route.Route{Name: "open", Prefix: "/a"},
		route.Route{Name: "lost", Prefix: "/b/", Split: []route.PoolShare{{Pool: "nowhere", Weight: 1}}},
		route.Route{Name: "fine", Prefix: "/c/"},
	)
	doc.Routes[2].Timeout = 0
	_, err := route.Compile(doc)
	if err == nil {
		t.Fatal("an invalid document was accepted")
	}
	for _, want := range []string{"version 7", "route open", "slash", "route lost", `"nowhere"`, "route fine", "timeout"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
}

func TestKeysAndRanks(t *testing.T) {
	doc := document(route.Route{Name: "r", Prefix: "/"})
	doc.KeyRequired = true
	doc.Customers = []route.Customer{{ID: "herb", Rank: 2, HasRank: true}}
	doc.Keys = map[string]core.CustomerID{"k1": "herb", "k2": "unlisted"}
	ta := compile(t, doc)
	if cu := ta.CustomerByKey("k1"); cu == nil || cu.ID != "herb" || cu.Rank != 2 {
		t.Errorf("key k1: customer %+v, want herb with rank 2", cu)
	}
	if cu := ta.CustomerByKey("k2"); cu == nil || cu.ID != "unlisted" || cu.HasRank {
		t.Errorf("key k2: customer %+v, want unlisted without a rank", cu)
	}
	if cu := ta.CustomerByKey(""); cu != nil {
		t.Errorf("empty key: customer %+v, want none", cu)
	}
}

// A request must stay within the home regions of both its route and its customer, also if these have
// no region in common.
func TestHomeRegionsOfRouteAndCustomerBothBind(t *testing.T) {
	for _, on := range []struct {
		route, customer []core.Region
		want            []core.Region
		all             bool
	}{
		{nil, nil, nil, true},
		{[]core.Region{"n"}, nil, []core.Region{"n"}, false},
		{nil, []core.Region{"s", "n"}, []core.Region{"s", "n"}, false},
		{[]core.Region{"n", "w"}, []core.Region{"s", "n"}, []core.Region{"n"}, false},
		{[]core.Region{"n"}, []core.Region{"s"}, nil, false},
	} {
		homes, all := route.HomeRegionsOf(&route.Route{HomeRegions: on.route}, &route.Customer{HomeRegions: on.customer})
		if !slices.Equal(homes, on.want) || all != on.all {
			t.Errorf("route %v, customer %v: home regions %v, all %v", on.route, on.customer, homes, all)
		}
	}
	if homes, all := route.HomeRegionsOf(&route.Route{HomeRegions: []core.Region{"n"}}, nil); len(homes) != 1 || all {
		t.Errorf("without a customer: home regions %v, all %v", homes, all)
	}
}
