// Command stand runs one stand-in for the platform: store, members, worker or
// minion. Each serves PUT /fault to switch its faults while it runs.
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

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	root := &ffcli.Command{
		ShortUsage:  "stand <store|members|worker|minion|fleet> [flags]",
		Subcommands: []*ffcli.Command{plain("store", hfstand.NewStore().Handler()), plain("members", hfstand.NewMembers().Handler()), worker(), minion(), fleet()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(1)
	}
}

func plain(name string, h http.Handler) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "IP:port")
	return &ffcli.Command{Name: name, FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		return serve(ctx, *listen, h)
	}}
}

func worker() *ffcli.Command {
	fs := flag.NewFlagSet("worker", flag.ExitOnError)
	row, list := memberFlags(fs, "worker")
	return &ffcli.Command{Name: "worker", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		if err := register(*list, *row, "live"); err != nil {
			return fmt.Errorf("register worker: %w", err)
		}
		return serve(ctx, row.Address, hfstand.NewWorker(row.Name, uint32(row.Accelerators)).Handler())
	}}
}

// fleet runs many workers in one process, for measurements.
func fleet() *ffcli.Command {
	fs := flag.NewFlagSet("fleet", flag.ExitOnError)
	row, list := memberFlags(fs, "worker")
	count := fs.Int("count", 10, "workers; the first listens on --listen, the others on the ports after it")
	return &ffcli.Command{Name: "fleet", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		first, err := netip.ParseAddrPort(row.Address)
		if err != nil {
			return fmt.Errorf("fleet address: %w", err)
		}
		g, ctx := errgroup.WithContext(ctx)
		for i := range *count {
			one := *row
			one.Name = fmt.Sprintf("%s%d", row.Name, i)
			one.Address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
			one.Rack, one.Position = fmt.Sprintf("r%03d", i/8), i%8
			if err := register(*list, one, "live"); err != nil {
				return fmt.Errorf("register worker: %w", err)
			}
			g.Go(func() error {
				return serve(ctx, one.Address, hfstand.NewWorker(one.Name, uint32(one.Accelerators)).Handler())
			})
		}
		return g.Wait()
	}}
}

func minion() *ffcli.Command {
	fs := flag.NewFlagSet("minion", flag.ExitOnError)
	row, list := memberFlags(fs, "minion")
	return &ffcli.Command{Name: "minion", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		if err := register(*list, *row, "live"); err != nil {
			return fmt.Errorf("register minion: %w", err)
		}
		return serve(ctx, row.Address, hfstand.NewMinion(row.Name, row.Slots).Handler())
	}}
}

func memberFlags(fs *flag.FlagSet, role string) (*hfstand.Member, *string) {
	row := &hfstand.Member{Role: role}
	fs.StringVar(&row.Name, "name", role, "name in the membership list")
	fs.StringVar(&row.Address, "listen", "127.0.0.1:0", "IP:port")
	fs.StringVar(&row.Domain, "domain", "a", "failure domain")
	fs.StringVar(&row.Region, "region", "one", "region")
	fs.StringVar(&row.Rack, "rack", "r1", "rack")
	fs.IntVar(&row.Position, "position", 0, "place in the rack")
	fs.IntVar(&row.Accelerators, "accelerators", 8, "accelerators of a worker")
	fs.IntVar(&row.Slots, "slots", 8, "slots of a minion")
	return row, fs.String("members", "", "URL of the membership list")
}

func register(list string, row hfstand.Member, state string) error {
	if list == "" {
		return nil
	}
	row.State = state
	body, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	resp, err := http.Post(list+"/v1/members", "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post member: %w", err)
	}
	return resp.Body.Close()
}

func serve(ctx context.Context, listen string, h http.Handler) error {
	s := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = s.Shutdown(end)
	})
	defer stop()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
