// Command heatherfront schedules multi-accelerator jobs and callers' requests under
// client account guarantees. Run heatherfront --help for its subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/heatherfront/heatherfront/hfcommand"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := hfcommand.Run(ctx, os.Args[1:], hfcommand.NewStreams(os.Stdin, os.Stdout, os.Stderr))
	cancel()
	os.Exit(int(code))
}
