// Command experiment runs the simulations of hfmodel and prints their measurements, which
// docs/MEASUREMENTS.md reports.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/heatherfront/heatherfront/hfmodel"
)

func main() {
	root := &ffcli.Command{
		ShortUsage:  "experiment <jobs|slope|requests>",
		Subcommands: []*ffcli.Command{jobsCommand(), slopeCommand(), requestsCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func jobsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("jobs", flag.ExitOnError)
	days := fs.Uint64("days", 5, "days of each deployment; day N has seed N")
	return &ffcli.Command{Name: "jobs", ShortHelp: "days of gang jobs against first-fit in arrival order", FlagSet: fs, Exec: func(context.Context, []string) error {
		var seeds []uint64
		for day := range *days {
			seeds = append(seeds, day+1)
		}
		for _, d := range hfmodel.Deployments() {
			hfmodel.WriteDays(os.Stdout, d, seeds)
		}
		return nil
	}}
}

func slopeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("slope", flag.ExitOnError)
	return &ffcli.Command{Name: "slope", ShortHelp: "decision time and store bytes at several sizes, one day each", FlagSet: fs, Exec: func(_ context.Context, args []string) error {
		if len(args) == 0 {
			args = []string{"50", "144", "720"}
		}
		for _, text := range args {
			workers, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("number of workers: %w", err)
			}
			hfmodel.WriteDays(os.Stdout, hfmodel.ScaledTarget(workers), []uint64{1})
		}
		return nil
	}}
}

func requestsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("requests", flag.ExitOnError)
	return &ffcli.Command{Name: "requests", ShortHelp: "floods and a large caller against first-come-first-served", FlagSet: fs, Exec: func(context.Context, []string) error {
		hfmodel.WriteRequests(os.Stdout)
		return nil
	}}
}
