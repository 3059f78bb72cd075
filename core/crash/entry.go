package crash

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"almondrill/core"
)

// entry is the stored form of a quarantine: JSON under the request's EntryName.
type entry struct{ Trials, Crashes int }

// EntryName returns the name under which a request's quarantine is stored.
func EntryName(fp core.Fingerprint) string { return hex.EncodeToString(fp[:]) }

// EncodeEntry returns the stored value of a quarantine.
func EncodeEntry(qu core.Quarantine) ([]byte, error) {
	return json.Marshal(entry{qu.Trials, qu.Crashes})
}

// ParseEntryName returns the request whose quarantine is stored under the name.
func ParseEntryName(name string) (core.Fingerprint, error) {
	data, err := hex.DecodeString(name)
	if err != nil || len(data) != len(core.Fingerprint{}) {
		return core.Fingerprint{}, fmt.Errorf("quarantine entry name %q is not a request fingerprint", name)
	}
	return core.Fingerprint(data), nil
}

// DecodeEntry decodes a stored quarantine.
func DecodeEntry(name string, value []byte, rev core.Version) (core.Quarantine, error) {
	fp, err := ParseEntryName(name)
	if err != nil {
		return core.Quarantine{}, err
	}
	var en entry
	if err = json.Unmarshal(value, &en); err != nil {
		return core.Quarantine{}, fmt.Errorf("decode the quarantine entry of %s: %w", fp, err)
	}
	return core.Quarantine{Request: fp, Trials: max(0, en.Trials), Crashes: max(0, en.Crashes), Rev: rev}, nil
}
