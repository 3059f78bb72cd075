package blame

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

// EntryValue is what is kept of a quarantine.
func EntryValue(qu core.Quarantine) ([]byte, error) {
	return json.Marshal(entry{qu.Trials, qu.Crashes})
}

// EntryRequest is the request that an entry is named for.
func EntryRequest(name string) (core.Fingerprint, error) {
	data, err := hex.DecodeString(name)
	if err != nil || len(data) != len(core.Fingerprint{}) {
		return core.Fingerprint{}, fmt.Errorf("%q names no request", name)
	}
	return core.Fingerprint(data), nil
}

// ReadEntry reads an entry of a store.
func ReadEntry(name string, value []byte, rev core.Version) (core.Quarantine, error) {
	fp, err := EntryRequest(name)
	if err != nil {
		return core.Quarantine{}, err
	}
	var en entry
	if err = json.Unmarshal(value, &en); err != nil {
		return core.Quarantine{}, fmt.Errorf("read the quarantine of %s: %w", fp, err)
	}
	return core.Quarantine{Request: fp, Trials: max(0, en.Trials), Crashes: max(0, en.Crashes), Rev: rev}, nil
}
