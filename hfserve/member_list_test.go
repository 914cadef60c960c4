package hfserve

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfevent"
)

const (
	goodRow  = `{"name":"a","role":"worker","address":"10.0.0.1:80","domain":"d","region":"r","rack":"k","accelerators":8,"state":"live"}`
	otherRow = `{"name":"c","role":"minion","address":"10.0.0.3:80","domain":"d","region":"r","slots":8,"state":"leaving"}`
)

// badRows are rows of the membership list that another writer may have left.
func badRows() map[string]string {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	row := func(field, value string) string {
		fields := map[string]string{
			"name": `"b"`, "role": `"worker"`, "address": `"10.0.0.2:80"`, "domain": `"d"`, "region": `"r"`, "rack": `"k"`, "position": "1",
			"accelerators": "8", "slots": "8", "state": `"live"`,
		}
		fields[field] = value
		return fmt.Sprintf(`{"name":%s,"role":%s,"address":%s,"domain":%s,"region":%s,"rack":%s,"position":%s,"accelerators":%s,"slots":%s,"state":%s}`,
			fields["name"], fields["role"], fields["address"], fields["domain"], fields["region"], fields["rack"], fields["position"],
			fields["accelerators"], fields["slots"], fields["state"])
	}
	rows := map[string]string{
		"null": "null", "a number": "5", "a string": `"a,b"`, "a list": "[]", "nothing known": "{}", "deeply nested": nested(20_000),
		"deeply nested beside its fields": strings.TrimSuffix(row("name", `"b"`), "}") + `,"x":` + nested(20_000) + `}`,
		"deeply nested name":              row("name", nested(20_000)), "no JSON": "{]x[}", "brackets in a string": row("domain", `5,"x":"]}\"[{"`),
	}
	for field, values := range map[string][]string{
		"name":    {"5", "{}", `""`, `"` + strings.Repeat("x", 1<<20) + `"`},
		"address": {"5", `""`, `"10.0.0.2"`, `"10.0.0.2:0"`, `"10.0.0.2:65536"`, `"10.0.0.2:-1"`, `"10.0.0.2:99999999999999999999"`, `":80"`, `"host:80"`, `"x@10.0.0.2:80"`},
		"domain":  {"5", `"` + strings.Repeat("x", 1<<20) + `"`}, "region": {"[]"}, "rack": {"{}"}, "role": {"5"}, "state": {"[]"},
		"accelerators": {"-1", "1000000000000", "9223372036854775807", "99999999999999999999", "1e400", "1e3", "1.5", `"8"`, "NaN"},
		"slots":        {"-1", "9223372036854775807", "1e400", `"8"`},
		"position":     {"9223372036854775807", "-9223372036854775808", "1e400", `"1"`},
	} {
		for _, value := range values {
			rows[field+" "+value[:min(len(value), 30)]] = row(field, value)
		}
	}
	return rows
}

// names returns the names of the rows in order.
func names(l *memberList) []string {
	var list []string
	for _, r := range l.rows {
		list = append(list, r.Name)
	}
	return list
}

// Guards against one odd row of the membership list ending every instance that reads it, as a
// huge number of accelerators did, or keeping it from following the list.
func TestBadMemberHidesNoOthers(t *testing.T) {
	for name, bad := range badRows() {
		t.Run(name, func(t *testing.T) {
			l := newMemberList()
			rejected, err := l.update([]byte(" [" + goodRow + " , " + bad + "\n," + otherRow + "]\n"))
			require.NoError(t, err)
			require.Len(t, rejected, 1)
			require.False(t, rejected[0].Repeated())
			require.NotEmpty(t, rejected[0].Reason())
			require.LessOrEqual(t, len(rejected[0].Reason()), hfevent.MaxReasonBytes)
			require.Equal(t, []string{"a", "c"}, names(l))
			rejected, err = l.update([]byte("[" + goodRow + "," + bad + "]"))
			require.NoError(t, err)
			require.True(t, rejected[0].Repeated(), "logged once")
			require.Equal(t, []string{"a"}, names(l), "the rest of the list is followed")
		})
	}
}

// Guards against the runs of a worker being taken as lost because its row became invalid.
func TestLastValidRowOfAMemberStays(t *testing.T) {
	l := newMemberList()
	_, err := l.update([]byte("[" + goodRow + "," + otherRow + "]"))
	require.NoError(t, err)
	before := l.rows[0]
	rejected, err := l.update([]byte("[" + otherRow + "," + strings.Replace(goodRow, ":80", ":80000", 1) + "]"))
	require.NoError(t, err)
	require.Len(t, rejected, 1)
	require.Equal(t, "a", rejected[0].Key())
	require.Equal(t, []string{"c", "a"}, names(l))
	require.Equal(t, before, l.rows[1])
	rejected, err = l.update([]byte("[" + goodRow + "," + strings.Replace(goodRow, ":80", ":81", 1) + "]"))
	require.NoError(t, err)
	require.Len(t, rejected, 1, "a second row of the name")
	require.Equal(t, before, l.rows[0])
	require.Equal(t, []string{"a"}, names(l))
	_, err = l.update([]byte("[" + otherRow + "]"))
	require.NoError(t, err)
	require.Equal(t, []string{"c"}, names(l), "a member that is no longer listed is gone")
}

// Guards against a list that cannot be read, or holds no valid row, emptying the one in use.
func TestUnreadableListChangesNothing(t *testing.T) {
	l := newMemberList()
	_, err := l.update([]byte("[" + goodRow + "]"))
	require.NoError(t, err)
	for _, body := range []string{"", "null", "5", "[", "]", "[]", "[ ]", "{}", `{"a":[]}`, "[" + goodRow, "[" + goodRow + "]]", `["a]`, "[5]", "[[]", "\xff", strings.Repeat("[", 1<<20)} {
		_, err := l.update([]byte(body))
		require.ErrorIs(t, err, ErrMemberList, body[:min(len(body), 40)])
		require.Equal(t, []string{"a"}, names(l))
	}
}

// FuzzMemberList checks that no list ends the process, and that all rows taken are valid and of
// different names.
func FuzzMemberList(f *testing.F) {
	f.Add("[" + goodRow + "," + otherRow + "]")
	for _, row := range badRows() {
		if len(row) < 1000 {
			f.Add("[" + goodRow + "," + row + "]")
		}
	}
	f.Fuzz(func(t *testing.T, body string) {
		l := newMemberList()
		for range 2 {
			_, _ = l.update([]byte(body))
			seen := map[string]bool{}
			for _, r := range l.rows {
				require.Empty(t, r.problem())
				require.False(t, seen[r.Name])
				seen[r.Name] = true
			}
		}
	})
}
