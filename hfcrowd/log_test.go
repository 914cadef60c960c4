package hfcrowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	refusedCalls = 200    // of a client, each of which the process logs
	longPath     = 14_000 // bytes of a path that is inside the limit of a head
)

// sendLongPaths makes calls that are refused, with paths that take more room in the log than in a head.
func sendLongPaths(conn net.Conn) {
	const char = "%01"
	call := fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: nowhere\r\n\r\n", strings.Repeat(char, longPath/len(char)))
	reader := bufio.NewReader(conn)
	for range refusedCalls {
		if !write(conn, []byte(call)) {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// The reader of the log has stalled.
func TestEntryUnderLongPathsWhileLogIsNotRead(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = reader.Close() }()
	p := startEntryWith(t, manySockets, func(p *target) { p.stdout = writer })
	run(p, largeCrowd, 1, func(_ *crowd, conn net.Conn, _ int) { sendLongPaths(conn) })
	p.check()
}
