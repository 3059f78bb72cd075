package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"almondrill/core/place"
	"almondrill/io/conf"
)

// reloadInterval is how often the settings file is checked for changes without a signal.
const reloadInterval = 2 * time.Second

// watchSettings applies changed settings, on SIGHUP and on periodic checks.
func (pr *Process) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if pr.Reload == nil {
		return nil
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last := *pr.Settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		se, err := pr.Reload()
		if err != nil {
			pr.log.Warn("Changed settings are invalid; keeping those in force.", zap.Error(err))
			continue
		}
		if same := reflect.DeepEqual(last, *se); same && !signalled {
			continue
		}
		last = *se
		pr.applySettings(se)
	}
}

// applySettings applies the settings that may change while the process runs.
func (pr *Process) applySettings(se *conf.RelaySettings) {
	pr.placer.SetBounds(se.CapFactor, place.ColdLimits{Overrun: se.ColdOverrun, Slack: se.ColdSlack})
	pr.budget.SetBound(se.RetryRatio, se.RetrySlack)
	pr.accounts.SetLimits(se.MemoryMB, se.MaxDescriptors, se.FileDescriptors)
	fixed := se.CallersAddr == pr.Settings.CallersAddr && se.PeersAddr == pr.Settings.PeersAddr &&
		se.KVAddr == pr.Settings.KVAddr && se.ReadyAddr == pr.Settings.ReadyAddr && se.AdminAddr == pr.Settings.AdminAddr
	pr.log.Info("Reloaded the settings.", zap.Float64("CapFactor", se.CapFactor), zap.Float64("RetryRatio", se.RetryRatio),
		zap.Float64("RetrySlack", se.RetrySlack), zap.Bool("NeedsRestart", !fixed))
}
