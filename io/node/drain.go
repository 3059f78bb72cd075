package node

import (
	"context"
	"io"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/io/stats"
)

// drainAgent shuts the agent down and counts what it handed over.
func (pr *Process) drainAgent() error {
	se := pr.Settings
	ctx, cancel := context.WithTimeout(context.Background(), se.DrainTimeout)
	defer cancel()
	ha, err := pr.agent.Shutdown(ctx, se.HandOverTimeout, se.HandOverBytes)
	if err != nil {
		pr.logger.Warn("Calls were still in progress at the end of the drain timeout.", zap.Int("Calls", pr.agent.InProgress()))
	}
	pr.Stats.Add(stats.ContextsHandedOn, int64(ha.Contexts))
	pr.Stats.Add(stats.PointersHandedOn, int64(ha.Pointers))
	pr.logger.Info("Handed over contexts and pointers.", zap.Int("Contexts", ha.Contexts), zap.Int("Refused", ha.Refused),
		zap.Int("Pointers", ha.Pointers), zap.Int64("Bytes", int64(ha.Bytes)))
	return nil
}

// importContext imports a context from another agent and counts it.
func (pr *Process) importContext(ctx context.Context, ha *core.Handover, rd io.Reader) error {
	err := pr.agent.ImportContext(ctx, ha, rd)
	if err == nil {
		pr.Stats.Add(stats.ContextsTakenIn, 1)
	}
	return err
}
