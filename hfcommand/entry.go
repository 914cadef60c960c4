package hfcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/heatherfront/heatherfront/hfentry"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfsettings"
	hfplatform "github.com/heatherfront/heatherfront/platform"
)

// logBufferLines is the number of log lines that are buffered for a slow reader of standard
// output.
const logBufferLines = 4096

// Values of --suspicion.
const (
	suspicionOn  = "on"
	suspicionOff = "off"
)

func entryCommand(s Streams) *ffcli.Command {
	fs := newFlagSet("entry", s)
	path := fs.String("settings", "", "settings file that the platform writes")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	order := fs.String("order", string(hfplan.DefaultOrder), "who waits where room is short: cost (what costs callers least) or size (the most work)")
	suspicion := fs.String("suspicion", suspicionOn, "whether workers on which tasks fail soon after their start are avoided and tried: on or off")
	return &ffcli.Command{
		Name: "entry", ShortUsage: "heatherfront entry [flags]", ShortHelp: "run one entry instance on the operators' platform until SIGTERM",
		LongHelp: "Takes jobs for the platform's queues and schedules them on its workers. The log is JSON on\nstandard output; its events are listed in docs/EVENTS.md.",
		FlagSet:  fs,
		Options:  []ff.Option{ff.WithEnvVarPrefix(hfsettings.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" {
				return fmt.Errorf("%w: --settings or %s must name the settings file", ErrUsage, hfplatform.SettingsVariable)
			}
			parsed, err := zapcore.ParseLevel(*level)
			if err != nil {
				return fmt.Errorf("%w: --log-level: %q is not debug, info, warn or error", ErrUsage, *level)
			}
			if !slices.Contains(hfplan.Orders(), hfplan.Order(*order)) {
				return fmt.Errorf("%w: --order: %q is not cost or size", ErrUsage, *order)
			}
			if *suspicion != suspicionOn && *suspicion != suspicionOff {
				return fmt.Errorf("%w: --suspicion: %q is not on or off", ErrUsage, *suspicion)
			}
			// The platform sends SIGHUP when the settings file has changed. It is not needed,
			// as the file is polled for changes, and its default action would end the process.
			signal.Ignore(syscall.SIGHUP)
			sink := hfevent.NewSink(os.Stdout, logBufferLines, hfentry.LogBytes)
			config := zap.NewProductionEncoderConfig()
			config.EncodeTime = zapcore.ISO8601TimeEncoder
			logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, parsed))
			if err := hfplatform.Run(ctx, *path, hfplan.Order(*order), *suspicion == suspicionOn, logger, sink); err != nil {
				return &exitError{exit: ExitFailed, reason: err.Error()}
			}
			return nil
		},
	}
}
