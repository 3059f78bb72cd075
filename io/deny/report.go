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

// Path is the HTTP path at which operators list and lift quarantines.
const Path = "/debug/quarantine"

// Quarantined is an entry of the response to GET Path.
type Quarantined struct {
	// Fingerprint is the complete fingerprint; log lines contain its first half.
	Fingerprint string
	// Part is set if it identifies a part of prompts, and not a request.
	Part bool
	// SinceMs is how many milliseconds ago this router learned of the quarantine, or of its last
	// trial.
	SinceMs int64
	Crashes int
	Trials  int
	// Stored is set once the platform's store has the entry.
	Stored bool
}

// Handler lists the quarantined requests on GET Path, and lifts a quarantine on DELETE Path/X,
// where X is the request's fingerprint or the half of it that log lines contain.
func (tr *Tracker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := json.NewEncoder(wr).Encode(tr.list()); err != nil {
			tr.Log.Info("Writing the list of quarantined requests failed.", zap.Error(err))
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
			Fingerprint: crash.EntryName(re.Request), Part: crash.IsPart(re.Request), SinceMs: now.Sub(re.Since).Milliseconds(),
			Crashes: re.Crashes, Trials: re.Trials, Stored: re.Stored,
		})
	}
	return all
}

// lift ends the quarantine of a request on all routers, and reports whether there was one.
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
		tr.Log.Info("An operator lifted the quarantine of a request.", zap.Stringer("Fingerprint", fp))
	}
	tr.apply(time.Now(), ef)
	return lifted
}
