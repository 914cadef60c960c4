package hfsettings

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// validArgs returns the required flags with valid values.
func validArgs() []string {
	return []string{
		"--name", "e1", "--domain", "a", "--region", "one",
		"--store-url", "http://127.0.0.1:1", "--members-url", "http://127.0.0.1:2",
	}
}

func parse(args []string) (*Settings, error) {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(&strings.Builder{})
	s := New(fs)
	return s, s.Parse(fs, args)
}

func TestErrorNamesTheSetting(t *testing.T) {
	_, err := parse(validArgs())
	require.NoError(t, err)
	for _, row := range [][2]string{
		{"name", ""},
		{"name", "E 1"},
		{"domain", ""},
		{"region", "x_y"},
		{"listen", "host:80"},
		{"peer", "127.0.0.1"},
		{"peer-reach", "x"},
		{"store-url", "127.0.0.1:1"},
		{"members-url", "http://list:80"},
		{"lease", "1ms"},
		{"lease", "11s"},
		{"beat", "1ms"},
		{"poll", "2m"},
		{"check", "5s"},
		{"suspect", "1s"},
		{"stop", "1h"},
		{"retain", "1s"},
		{"max-body", "0"},
		{"queue", "0"},
		{"memory", "1"},
		{"memory", "-1"},
		{"seeds", "x"},
		{"tls-key", "k"},
	} {
		_, err := parse(append(validArgs(), "--"+row[0], row[1]))
		require.ErrorIs(t, err, ErrInvalidSetting, row)
		require.ErrorContains(t, err, "--"+row[0][:3], row)
	}
}

func TestMemoryIsThatOfTheMachineUnlessSet(t *testing.T) {
	s, err := parse(validArgs())
	require.NoError(t, err)
	require.Positive(t, s.Memory())
	require.False(t, s.MemoryLimited())
	s, err = parse(append(validArgs(), "--memory", "64"))
	require.NoError(t, err)
	require.Equal(t, int64(64<<20), s.Memory())
	require.True(t, s.MemoryLimited())
}

func TestLargestBodyFitsIntoTheMemory(t *testing.T) {
	_, err := parse(append(validArgs(), "--memory", "64", "--max-body", "8388609"))
	require.ErrorIs(t, err, ErrInvalidSetting)
	require.ErrorContains(t, err, "--max-body")
	_, err = parse(append(validArgs(), "--memory", "64", "--max-body", "8388608"))
	require.NoError(t, err)
}

func TestEnvironment(t *testing.T) {
	t.Setenv("HEATHERFRONT_NAME", "from-environment")
	s, err := parse(validArgs()[2:])
	require.NoError(t, err)
	require.Equal(t, "from-environment", s.Name())
	s, err = parse(validArgs())
	require.NoError(t, err)
	require.Equal(t, "e1", s.Name(), "a flag takes precedence over the environment")
}

func TestDocsListEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	New(fs)
	fs.VisitAll(func(f *flag.Flag) {
		require.Contains(t, string(page), "| --"+f.Name+" | "+f.DefValue+" | "+f.Usage+" |")
	})
}
