package hfcommand

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfserve"
	"github.com/heatherfront/heatherfront/hfsettings"
)

func serveCommand(s Streams) *ffcli.Command {
	fs := newFlagSet("serve", s)
	settings := hfsettings.New(fs)
	return &ffcli.Command{
		Name: "serve", ShortUsage: "heatherfront serve [flags]", ShortHelp: "run one instance until SIGTERM",
		LongHelp: "Every flag is also an environment variable: --store-url is HEATHERFRONT_STORE_URL.\nThe log is JSON on the error stream; its events are listed in docs/EVENTS.md.",
		FlagSet:  fs,
		Exec: func(ctx context.Context, _ []string) error {
			if err := settings.Parse(fs, nil); err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			logger, err := newLogger(s, settings.LogLevel())
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			node, err := hfserve.Listen(settings, logger)
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			if err := node.Run(ctx); err != nil {
				return &exitError{exit: ExitFailed, reason: err.Error()}
			}
			return nil
		},
	}
}

// newLogger returns a logger that writes JSON lines to the error stream.
func newLogger(s Streams, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("%w --log-level: %q is not debug, info, warn or error", hfsettings.ErrInvalidSetting, level)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(s.err)), parsed)
	return zap.New(core), nil
}

func hashCommand(s Streams) *ffcli.Command {
	return &ffcli.Command{
		Name: "hash", ShortUsage: "heatherfront hash [SECRET]", ShortHelp: "print a secret and the hash to declare for it",
		LongHelp: "Without an argument, a random secret is made. Only the hash is stored anywhere.",
		FlagSet:  newFlagSet("hash", s),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 1 {
				return fmt.Errorf("%w: hash takes one secret at most", ErrUsage)
			}
			secret, hash := hfaccount.NewSecret()
			if len(args) == 1 {
				secret, hash = args[0], hfaccount.Hash(args[0])
			}
			_, _ = fmt.Fprintf(s.out, "secret %s\nhash   %s\n", secret, hash)
			return nil
		},
	}
}

func newIDCommand(s Streams) *ffcli.Command {
	return &ffcli.Command{
		Name: "newid", ShortUsage: "heatherfront newid", ShortHelp: "print a new request or job id",
		FlagSet: newFlagSet("newid", s),
		Exec: func(context.Context, []string) error {
			id, err := uuid.NewV7()
			if err != nil {
				return fmt.Errorf("make id: %w", err)
			}
			_, _ = fmt.Fprintln(s.out, id)
			return nil
		},
	}
}
