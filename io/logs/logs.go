// Package logs makes the loggers of the parts, each with its fixed prefix.
//
// # Usage
//
//	lo := logs.New(os.Stderr, "info")
//	lo.Part("router").Info("Started.", zap.String("Addr", addr))
package logs

import (
	"errors"
	"io"
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logs makes loggers that share one output.
type Logs struct {
	core zapcore.Core
}

// New writes to out what is at or above the level: debug, info, warn or error.
// An unknown level counts as info.
func New(out io.Writer, level string) *Logs {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	format := zap.NewProductionEncoderConfig()
	format.EncodeTime = zapcore.ISO8601TimeEncoder
	format.EncodeLevel = zapcore.CapitalLevelEncoder
	return &Logs{core: zapcore.NewCore(zapcore.NewConsoleEncoder(format), zapcore.AddSync(out), minLevel)}
}

// Part is the logger of one part; every line starts with its name.
func (lo *Logs) Part(name string) *zap.Logger { return zap.New(lo.core).Named(name) }

// With adds fields to every line.
func (lo *Logs) With(fields ...zap.Field) *Logs { return &Logs{core: lo.core.With(fields)} }

// Discard drops everything.
func Discard() *Logs { return &Logs{core: zapcore.NewNopCore()} }

// kratosOnce guards kratos' logger, of which there is one per program: where several
// processes live in one, the first gets its lines.
var kratosOnce sync.Once

// InstallKratos makes these the logs of kratos' own lines, unless others are already.
func (lo *Logs) InstallKratos() { kratosOnce.Do(func() { kratoslog.SetLogger(lo.KratosLogger()) }) }

// KratosLogger passes kratos' own lines on as part "kratos", at debug level: they
// repeat what the parts tell.
func (lo *Logs) KratosLogger() kratoslog.Logger { return kratosLogger{lo.Part("kratos").Sugar()} }

type kratosLogger struct{ sugar *zap.SugaredLogger }

// Log implements kratos' logger.
func (kl kratosLogger) Log(level kratoslog.Level, keyvals ...any) error {
	if level >= kratoslog.LevelError {
		kl.sugar.Errorw("Kratos reports.", keyvals...)
		return nil
	}
	kl.sugar.Debugw("Kratos reports.", keyvals...)
	return nil
}

// ErrorFields are an error's message with the step and the peer at which it arose,
// which its message alone does not tell. The library's own field would add a stack
// of many lines.
func ErrorFields(err error) []zap.Field {
	fields := []zap.Field{zap.String("Error", err.Error())}
	var oo oops.OopsError
	if errors.As(err, &oo) {
		fields = append(fields, zap.String("Step", oo.Domain()), zap.Any("Peer", oo.Context()["peer"]))
	}
	return fields
}
