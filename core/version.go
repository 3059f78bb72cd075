package core

import "fmt"

// Version orders the changes of a store, and is the version of the entry that a change wrote; 0
// means that the entry does not exist.
//
// A store that comes back from a copy gives revisions out again. The version therefore holds the
// store's era above the revision, so that whatever was written after a restore is later than all
// before it. In a store that is never restored the version is the revision.
type Version uint64

// Era counts how often a store came back from a copy.
type Era uint16

// revisionBits are those of a Version that hold the revision.
const revisionBits = 48

// VersionOf is the version of a revision in an era.
func VersionOf(er Era, revision uint64) Version {
	return Version(uint64(er)<<revisionBits | revision&(1<<revisionBits-1))
}

// Era is the era in which the change was made.
func (ve Version) Era() Era { return Era(ve >> revisionBits) }

// Revision is the store's own number of the change.
func (ve Version) Revision() uint64 { return uint64(ve) & (1<<revisionBits - 1) }

// String writes the era, if it is not 0, and the revision, with a point between.
func (ve Version) String() string {
	if ve.Era() == 0 {
		return fmt.Sprint(ve.Revision())
	}
	return fmt.Sprintf("%d.%d", ve.Era(), ve.Revision())
}
