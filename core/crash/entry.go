package crash

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"almondrill/core"
)

// entry is what a store keeps of a quarantine, as JSON under the request's EntryName.
type entry struct{ Trials, Crashes int }

// EntryName names the entry of a request.
func EntryName(fp core.Fingerprint) string { return hex.EncodeToString(fp[:]) }

// EncodeEntry is what is kept of a quarantine.
func EncodeEntry(qu core.Quarantine) ([]byte, error) {
	return json.Marshal(entry{qu.Trials, qu.Crashes})
}

// ParseEntryName is the request that an entry is named for.
func ParseEntryName(name string) (core.Fingerprint, error) {
	data, err := hex.DecodeString(name)
	if err != nil || len(data) != len(core.Fingerprint{}) {
		return core.Fingerprint{}, fmt.Errorf("%q names no request", name)
	}
	return core.Fingerprint(data), nil
}

// DecodeEntry reads an entry of a store.
func DecodeEntry(name string, value []byte, rev core.Version) (core.Quarantine, error) {
	fp, err := ParseEntryName(name)
	if err != nil {
		return core.Quarantine{}, err
	}
	var en entry
	if err = json.Unmarshal(value, &en); err != nil {
		return core.Quarantine{}, fmt.Errorf("read the quarantine of %s: %w", fp, err)
	}
	return core.Quarantine{Request: fp, Trials: max(0, en.Trials), Crashes: max(0, en.Crashes), Rev: rev}, nil
}
