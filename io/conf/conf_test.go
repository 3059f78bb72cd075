package conf_test

import (
	"flag"
	"os"
	"testing"

	"almondrill/core"
	"almondrill/io/conf"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md anew")

const page = "../../docs/SETTINGS.md"

// The page of settings is up to date with the settings types.
func TestSettingsPageIsFresh(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(conf.Markdown()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil || string(text) != conf.Markdown() {
		t.Errorf("docs/SETTINGS.md is stale; run: go test ./io/conf -update (%v)", err)
	}
}

// Settings that are left out get their defaults. A second YAML document and values out of range are
// rejected.
func TestReadSettings(t *testing.T) {
	text := "Name: r\nZone: a\nRegion: n\nPeersAddr: 10.0.0.1:1\nAdminAddr: 10.0.0.1:2\nCallersAddr: 10.0.0.1:3\nKVAddr: 10.0.0.2:1\nVMsAddr: 10.0.0.3:1\n"
	se, err := conf.ReadSettings("r.yaml", []byte(text), core.RoleRouter)
	if err != nil || se.ControlBytesPerSecond != 2500 || se.ClaimShards != 64 {
		t.Errorf("%+v %v", se, err)
	}
	if _, err = conf.ReadSettings("r.yaml", []byte(text+"---\nName: s\n"), core.RoleRouter); err == nil {
		t.Error("a second document was accepted")
	}
	if _, err = conf.ReadSettings("r.yaml", []byte(text+"RetryRatio: -1\n"), core.RoleRouter); err == nil {
		t.Error("RetryRatio -1 was accepted")
	}
	if _, err = conf.ReadSettings("r.yaml", []byte(text+"HandOverBytes: -2\n"), core.RoleRouter); err == nil {
		t.Error("HandOverBytes -2 was accepted")
	}
}
