package hfevent

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestCatalogueAndPageAgree checks that every event has a unique number and that
// docs/EVENTS.md lists it with the same fields as the code.
func TestCatalogueAndPageAgree(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	numbers := map[int]bool{}
	for _, e := range Catalogue() {
		require.False(t, numbers[e.Number()], "number %d is used twice", e.Number())
		numbers[e.Number()] = true
		require.Contains(t, string(page), fmt.Sprintf("| %d | %s | %s | %s |", e.Number(), e.Name(), e.Level(), e.Description()))
	}
}

// TestEveryEventIsWritten checks that each event of the catalogue is used in one of
// the packages that log events.
func TestEveryEventIsWritten(t *testing.T) {
	catalogue, err := os.ReadFile("catalogue.go")
	require.NoError(t, err)
	var files []string
	for _, folder := range []string{"hfserve", "hfentry", "platform"} {
		found, err := filepath.Glob("../" + folder + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, found)
		files = append(files, found...)
	}
	var written strings.Builder
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		written.Write(raw)
	}
	declared := regexp.MustCompile(`(?m)^\t(\w+) += Event\{`).FindAllStringSubmatch(string(catalogue), -1)
	require.Len(t, declared, len(Catalogue()))
	for _, d := range declared {
		require.Regexp(t, `hfevent\.`+d[1]+`\b`, written.String())
	}
}

func TestEventIsLoggedAndCounted(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	registry := metrics.NewRegistry()
	New(zap.New(core), registry).Event(Started, zap.String("name", "e1"))
	require.Equal(t, 1, logs.Len())
	require.Equal(t, int64(100), logs.All()[0].ContextMap()["event"])
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("event.started", registry).Count())
}
