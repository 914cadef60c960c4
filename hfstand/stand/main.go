// Command stand runs a fake of one part of the platform: the store, the membership list,
// a worker, a minion, or a fleet of workers. Each serves PUT /fault, which changes the
// injected faults while it runs.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfstand"
)

// workersPerRack is the size of the racks of a fleet.
const workersPerRack = 8

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	root := &ffcli.Command{
		ShortUsage:  "stand <store|members|worker|minion|fleet> [flags]",
		Subcommands: []*ffcli.Command{handlerCommand("store", hfstand.NewStore().Handler()), handlerCommand("members", hfstand.NewMembers().Handler()), workerCommand(), minionCommand(), fleetCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(1)
	}
}

// handlerCommand returns a command that serves a handler and does not register itself in
// the membership list.
func handlerCommand(name string, h http.Handler) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "IP:port")
	return &ffcli.Command{Name: name, FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		return serve(ctx, *listen, h)
	}}
}

func workerCommand() *ffcli.Command {
	fs := flag.NewFlagSet("worker", flag.ExitOnError)
	member, listURL := memberFlags(fs, "worker")
	return &ffcli.Command{Name: "worker", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		if err := register(*listURL, *member, "live"); err != nil {
			return fmt.Errorf("register worker: %w", err)
		}
		return serve(ctx, member.Address, hfstand.NewWorker(member.Name, uint32(member.Accelerators)).Handler())
	}}
}

// fleetCommand returns a command that runs many workers in one process. The capacity
// measurement uses it.
func fleetCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fleet", flag.ExitOnError)
	member, listURL := memberFlags(fs, "worker")
	count := fs.Int("count", 10, "workers; the first listens on --listen, the others on the ports after it")
	return &ffcli.Command{Name: "fleet", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		first, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			return fmt.Errorf("fleet address: %w", err)
		}
		g, ctx := errgroup.WithContext(ctx)
		for i := range *count {
			worker := *member
			worker.Name = fmt.Sprintf("%s%d", member.Name, i)
			worker.Address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
			worker.Rack, worker.Position = fmt.Sprintf("r%03d", i/workersPerRack), i%workersPerRack
			if err := register(*listURL, worker, "live"); err != nil {
				return fmt.Errorf("register worker: %w", err)
			}
			g.Go(func() error {
				return serve(ctx, worker.Address, hfstand.NewWorker(worker.Name, uint32(worker.Accelerators)).Handler())
			})
		}
		return g.Wait()
	}}
}

func minionCommand() *ffcli.Command {
	fs := flag.NewFlagSet("minion", flag.ExitOnError)
	member, listURL := memberFlags(fs, "minion")
	return &ffcli.Command{Name: "minion", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		if err := register(*listURL, *member, "live"); err != nil {
			return fmt.Errorf("register minion: %w", err)
		}
		return serve(ctx, member.Address, hfstand.NewMinion(member.Name, member.Slots).Handler())
	}}
}

// memberFlags declares the flags of a fake that registers itself. It returns the
// member and the URL of the membership list.
func memberFlags(fs *flag.FlagSet, role string) (*hfstand.Member, *string) {
	member := &hfstand.Member{Role: role}
	fs.StringVar(&member.Name, "name", role, "name in the membership list")
	fs.StringVar(&member.Address, "listen", "127.0.0.1:0", "IP:port")
	fs.StringVar(&member.Domain, "domain", "a", "failure domain")
	fs.StringVar(&member.Region, "region", "one", "region")
	fs.StringVar(&member.Rack, "rack", "r1", "rack")
	fs.IntVar(&member.Position, "position", 0, "position in the rack")
	fs.IntVar(&member.Accelerators, "accelerators", 8, "accelerators of a worker")
	fs.IntVar(&member.Slots, "slots", 8, "slots of a minion")
	return member, fs.String("members", "", "URL of the membership list")
}

// register adds a member to the membership list. It does nothing if listURL is empty.
func register(listURL string, member hfstand.Member, state string) error {
	if listURL == "" {
		return nil
	}
	member.State = state
	body, err := json.Marshal(member)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	resp, err := http.Post(listURL+"/v1/members", "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post member: %w", err)
	}
	return resp.Body.Close()
}

// serve serves a handler until the context ends, then shuts down within 2 seconds.
func serve(ctx context.Context, listen string, h http.Handler) error {
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
