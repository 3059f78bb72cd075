package place

import (
	"time"

	"almondrill/core"
	"almondrill/core/migr"
)

// MigrationSource returns what is known about an engine on which streams run: the factor that lasts,
// and since when its shutdown is known.
func (pl *Placer) MigrationSource(now time.Time, id core.EndpointID) migr.Source {
	return migr.Source{Slowness: 1}
}

// ExpectedLeft returns the expected time until the end of a stream that has produced that many
// tokens, at the usual speed of the pool's engines.
func (tk *Ticket) ExpectedLeft(now time.Time, produced core.Tokens) time.Duration { return 0 }
