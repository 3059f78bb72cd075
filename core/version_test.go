package core_test

import (
	"testing"

	"almondrill/core"
)

func TestVersionsOrderByEraFirst(t *testing.T) {
	inOrder := []core.Version{0, core.VersionOf(0, 38), core.VersionOf(1, 7), core.VersionOf(1, 1<<48-1), core.VersionOf(2, 1)}
	for ix := range inOrder[1:] {
		if inOrder[ix] >= inOrder[ix+1] {
			t.Errorf("version %s is not less than %s", inOrder[ix], inOrder[ix+1])
		}
	}
	ve := core.VersionOf(3, 42)
	if ve.Era() != 3 || ve.Revision() != 42 || ve.String() != "3.42" || core.Version(42).String() != "42" {
		t.Errorf("era %d, revision %d, strings %s and %s; want 3, 42, 3.42 and 42", ve.Era(), ve.Revision(), ve, core.Version(42))
	}
}
