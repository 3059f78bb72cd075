package builds

import (
	"encoding/json"
	"fmt"
	"strconv"

	"almondrill/core"
)

// RecordName is the name of a build's record in the store.
func RecordName(build core.Build) string { return fmt.Sprintf("%08x", uint32(build)) }

// ParseRecordName returns the build of a record's name.
func ParseRecordName(name string) (core.Build, error) {
	build, err := strconv.ParseUint(name, 16, 32)
	if err != nil || RecordName(core.Build(build)) != name {
		return 0, fmt.Errorf("record %q: expected a build in eight hexadecimal digits", name)
	}
	return core.Build(build), nil
}

// recordValue is the value of a record in the store.
type recordValue struct {
	Pool    core.PoolID
	Version core.SoftwareVersion
}

// EncodeRecord returns the value of a build's record.
func EncodeRecord(br core.BuildRecord) ([]byte, error) {
	return json.Marshal(recordValue{br.Pool, br.Version})
}

// DecodeRecord decodes the record of that name. A record whose name does not belong to its content is an
// error: it would count for a pool that its build never served.
func DecodeRecord(name string, value []byte, rev core.Version) (core.BuildRecord, error) {
	build, err := ParseRecordName(name)
	if err != nil {
		return core.BuildRecord{}, err
	}
	var in recordValue
	if err = json.Unmarshal(value, &in); err != nil {
		return core.BuildRecord{}, fmt.Errorf("decode the record of build %s: %w", name, err)
	}
	if Of(in.Pool, in.Version) != build {
		return core.BuildRecord{}, fmt.Errorf("decode the record of build %s: pool %q and version %q are another build", name, in.Pool, in.Version)
	}
	return core.BuildRecord{Build: build, Pool: in.Pool, Version: in.Version, Rev: rev}, nil
}
