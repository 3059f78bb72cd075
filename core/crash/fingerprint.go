package crash

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"almondrill/core"
)

// Fingerprint identifies a request by its customer, method, host, path with query, and body.
// Headers are left out: some differ between attempts at the same request.
//
// A cryptographic hash keeps a caller from constructing two requests with one fingerprint, and
// with it from having another caller's request refused. The customer is part of the hash.
func Fingerprint(cu core.CustomerID, method, host, target string, body []byte) core.Fingerprint {
	ha := sha256.New()
	for _, field := range []string{string(cu), method, host, target} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		ha.Write(length[:])
		ha.Write([]byte(field))
	}
	ha.Write(body)
	var sum [sha256.Size]byte
	return core.Fingerprint(ha.Sum(sum[:0]))
}

// partTag is the second half of a part's fingerprint.
var partTag = []byte("part of ")

// PartFingerprint identifies a part of prompts, by the hash of its content. It is the same for all customers,
// pools and models.
func PartFingerprint(hash uint64) core.Fingerprint {
	return core.Fingerprint(append(binary.BigEndian.AppendUint64(nil, hash), partTag...))
}

// IsPart reports whether a fingerprint identifies a part of prompts, and not a request.
func IsPart(fp core.Fingerprint) bool { return bytes.Equal(fp[len(fp)/2:], partTag) }
