package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// The scripts in testdata run the built program and check its output and exit codes.
func TestScripts(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "almondrill"), ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(en *testscript.Env) error {
			en.Setenv("PATH", dir+string(os.PathListSeparator)+en.Getenv("PATH"))
			return nil
		},
	})
}
