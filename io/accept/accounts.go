package accept

import (
	"math"
	"syscall"

	"almondrill/core/ledger"
)

// Accounts are what clients may make a process hold. Set the limits before use; they may change later.
type Accounts struct {
	Bytes, Descriptors ledger.Ledger
}

// NewAccounts returns accounts without limits.
func NewAccounts(bytes, descriptors ledger.Shares) *Accounts {
	ac := &Accounts{}
	ac.Bytes.Shares, ac.Descriptors.Shares = bytes, descriptors
	return ac
}

// SetLimits sets the limits by a process's settings: its memory in megabytes, and its descriptors, of which some are
// kept for files. It returns how many descriptors are for the process's own work.
func (ac *Accounts) SetLimits(memoryMB, descriptors, files int) (own int) {
	all := openable(int64(descriptors), int64(files))
	ac.Bytes.SetLimit(ledger.ClientBytes(int64(memoryMB) << 20))
	ac.Descriptors.SetLimit(ledger.ClientDescriptors(all))
	return int(ledger.OwnDescriptors(all))
}

// openable returns how many descriptors a process may have open but for files, 0 if that is not limited. most is
// the limit in its settings, 0 for that of the system.
func openable(most, files int64) int64 {
	if most <= 0 {
		var li syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &li); err != nil || li.Cur > math.MaxInt32 {
			return 0
		}
		most = int64(li.Cur)
	}
	return max(1, most-files)
}
