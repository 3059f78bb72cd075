// Package logs creates the loggers of a process, one for each of its parts.
//
// # Usage
//
//	lo := logs.New(os.Stderr, "info")
//	lo.Part("router").Info("Started.", zap.String("Addr", addr))
package logs

import (
	"errors"
	"io"
	"strings"
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logs creates loggers that share one output.
type Logs struct {
	core zapcore.Core
}

// New returns Logs that write lines for people to out, at or above the level debug, info, warn or
// error. An unknown level means info.
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

// Part returns the logger of one part, whose name every line contains.
func (lo *Logs) Part(name string) *zap.Logger { return zap.New(lo.core).Named(name) }

// With returns Logs that add the fields to every line.
func (lo *Logs) With(fields ...zap.Field) *Logs { return &Logs{core: lo.core.With(fields)} }

// Discard returns Logs that write nothing.
func Discard() *Logs { return &Logs{core: zapcore.NewNopCore()} }

// kratosOnce guards the logger of the kratos library, which is global. If several processes of the
// fleet run in one program, the first one gets kratos' lines.
var kratosOnce sync.Once

// InstallKratos makes kratos log through lo, unless it already logs through another Logs.
func (lo *Logs) InstallKratos() { kratosOnce.Do(func() { kratoslog.SetLogger(lo.KratosLogger()) }) }

// KratosLogger returns a logger that writes kratos' lines as part "kratos": errors as errors, all
// others at debug level, since they repeat what the parts log.
func (lo *Logs) KratosLogger() kratoslog.Logger { return kratosLogger{lo.Part("kratos").Sugar()} }

type kratosLogger struct{ sugar *zap.SugaredLogger }

// Log implements kratos' Logger.
func (kl kratosLogger) Log(level kratoslog.Level, keyvals ...any) error {
	if level >= kratoslog.LevelError {
		kl.sugar.Errorw("Kratos log line.", keyvals...)
		return nil
	}
	kl.sugar.Debugw("Kratos log line.", keyvals...)
	return nil
}

// ErrorFields returns fields with an error's message, and with the step and the peer of an oops
// error, which are not in the message. The library's own field would add a stack trace.
func ErrorFields(err error) []zap.Field {
	fields := []zap.Field{zap.String("Error", err.Error())}
	var oo oops.OopsError
	if errors.As(err, &oo) {
		fields = append(fields, zap.String("Step", oo.Domain()), zap.Any("Peer", oo.Context()["peer"]))
	}
	return fields
}

// maxText is the length in bytes up to which a text of a client is logged.
const maxText = 256

// Short returns a text that a client has sent, cut for a log line.
func Short(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}
