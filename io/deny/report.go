package deny

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/crash"
)

// Path is where people on call ask what is quarantined, and lift it.
const Path = "/debug/quarantine"

// Quarantined is an entry of the answer to GET Path.
type Quarantined struct {
	// Fingerprint is whole; log lines bear its first half.
	Fingerprint string
	// SinceMs is how long ago this router learned of it, or of its last trial.
	SinceMs int64
	Crashes int
	Trials  int
	// Stored is set once the platform's store has it.
	Stored bool
}

// Handler answers GET Path with what is quarantined, and lifts a request on DELETE Path/X, where
// X is its fingerprint or as much of it as log lines bear.
func (tr *Tracker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := json.NewEncoder(wr).Encode(tr.list()); err != nil {
			tr.Log.Info("Listing what is quarantined failed.", zap.Error(err))
		}
	})
	mux.HandleFunc("DELETE "+Path+"/{fingerprint}", func(wr http.ResponseWriter, rq *http.Request) {
		name := strings.ToLower(rq.PathValue("fingerprint"))
		if !tr.lift(name) {
			http.Error(wr, "no request with the fingerprint "+name+" is quarantined", http.StatusNotFound)
			return
		}
		_, _ = wr.Write([]byte("lifted\n"))
	})
	return mux
}

func (tr *Tracker) list() []Quarantined {
	now := time.Now()
	all := []Quarantined{}
	for _, re := range tr.table.Reports() {
		all = append(all, Quarantined{
			Fingerprint: crash.EntryName(re.Request), SinceMs: now.Sub(re.Since).Milliseconds(),
			Crashes: re.Crashes, Trials: re.Trials, Stored: re.Stored,
		})
	}
	return all
}

// lift ends the quarantine of the request, everywhere; false if there is none.
func (tr *Tracker) lift(name string) bool {
	for _, re := range tr.table.Reports() {
		if name == re.Request.String() || name == crash.EntryName(re.Request) {
			return tr.liftOne(re.Request)
		}
	}
	return false
}

func (tr *Tracker) liftOne(fp core.Fingerprint) bool {
	ef, lifted := tr.table.Lift(fp)
	if lifted {
		tr.Log.Info("The quarantine of a request is lifted by hand.", zap.Stringer("Fingerprint", fp))
	}
	tr.apply(time.Now(), ef)
	return lifted
}
