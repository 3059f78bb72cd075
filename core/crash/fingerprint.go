package crash

import (
	"crypto/sha256"
	"encoding/binary"

	"almondrill/core"
)

// Fingerprint names a request by its customer, method, host, path with query, and body.
// Headers do not count: those that differ between attempts would hide that it is the same.
//
// A cryptographic hash keeps a caller from making two requests of one fingerprint, which
// would let it have another's request refused; the customer is a part of it.
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
