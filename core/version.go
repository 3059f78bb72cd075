package core

import "fmt"

// Version orders the changes of a store, and identifies the version of an entry that a change wrote.
// 0 means that the entry does not exist.
//
// A store restored from a backup assigns some revisions again. The version therefore has the store's
// era in its high bits and the revision in the low ones, so that everything written after a restore
// is later than everything before it. In a store that was never restored, the version equals the
// revision.
type Version uint64

// Era counts how often a store was restored from a backup.
type Era uint16

// revisionBits is the number of low bits of a Version that hold the revision.
const revisionBits = 48

// VersionOf returns the version for a revision in an era.
func VersionOf(er Era, revision uint64) Version {
	return Version(uint64(er)<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era in which the change was made.
func (ve Version) Era() Era { return Era(ve >> revisionBits) }

// Revision returns the store's own revision number of the change.
func (ve Version) Revision() uint64 { return uint64(ve) & (1<<revisionBits - 1) }

// String returns the revision, prefixed by the era and a dot if the era is not 0.
func (ve Version) String() string {
	if ve.Era() == 0 {
		return fmt.Sprint(ve.Revision())
	}
	return fmt.Sprintf("%d.%d", ve.Era(), ve.Revision())
}
