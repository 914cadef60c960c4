package hfserve

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/heatherfront/heatherfront/hfevent"
)

// Limits of a row of the membership list. Rows beyond them come from another writer.
const (
	maxNameBytes      = 256     // of a name, a failure domain, a region or a rack
	maxAccelerators   = 1 << 12 // of one worker; a leader keeps a table of all accelerators
	maxSlots          = 1 << 20 // of one endpoint
	maxPosition       = 1 << 31 // of a worker in its rack
	rejectedNameBytes = 60      // of the name in it
)

// memberRow is one row of the platform's membership list.
type memberRow struct {
	Name         string `json:"name"`
	Role         string `json:"role"`
	Address      string `json:"address"`
	Domain       string `json:"domain"`
	Region       string `json:"region"`
	Rack         string `json:"rack"`
	Position     int    `json:"position"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
	State        string `json:"state"`
}

// memberList is the membership list, of which each row is the last valid one of its name.
type memberList struct {
	rows     []memberRow
	rejected *hfevent.Rejections // rows that were last invalid, by name
}

func newMemberList() *memberList {
	return &memberList{rejected: hfevent.NewRejections(rejectedNameBytes)}
}

// update replaces the list by the valid rows of a newer one. For a row that is invalid, the last
// valid row of its name stays in the list. It fails, and changes nothing, if the list cannot be
// read or has no valid row.
func (l *memberList) update(body []byte) ([]hfevent.Rejection, error) {
	parts, err := splitArray(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMemberList, err)
	}
	last := map[string]memberRow{}
	for _, r := range l.rows {
		last[r.Name] = r
	}
	var rows []memberRow
	var rejected []hfevent.Rejection
	listed := map[string]bool{}
	var invalid []string // names of invalid rows
	for _, part := range parts {
		var r memberRow
		reason := ""
		if err := json.Unmarshal(part, &r); err != nil { // decodes the valid fields even if it fails
			reason = err.Error()
		} else if reason = r.problem(); reason == "" && listed[r.Name] {
			reason = "a second row of this name"
		}
		if reason == "" {
			listed[r.Name] = true
			l.rejected.Forget(r.Name)
			rows = append(rows, r)
			continue
		}
		invalid = append(invalid, r.Name)
		rejected = append(rejected, l.rejected.Reject(r.Name, reason))
	}
	for _, name := range invalid {
		if r, known := last[name]; known && !listed[name] {
			listed[name] = true
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 {
		return rejected, fmt.Errorf("%w: it has no valid row", ErrMemberList)
	}
	l.rows = rows
	return rejected, nil
}

// problem returns what is invalid in the row, or "". Rows of unknown roles are valid, as they are
// not used.
func (r memberRow) problem() string {
	address, err := netip.ParseAddrPort(r.Address)
	for _, field := range []struct {
		name    string
		invalid bool
	}{
		{"name", r.Name == "" || len(r.Name) > maxNameBytes},
		{"address", err != nil || address.Port() == 0},
		{"domain", len(r.Domain) > maxNameBytes},
		{"region", len(r.Region) > maxNameBytes},
		{"rack", len(r.Rack) > maxNameBytes},
		{"position", r.Position < -maxPosition || r.Position > maxPosition},
		{"accelerators", r.Accelerators < 0 || r.Accelerators > maxAccelerators},
		{"slots", r.Slots < 0 || r.Slots > maxSlots},
	} {
		if field.invalid {
			return field.name + " is invalid"
		}
	}
	return ""
}

// splitArray returns the elements of a JSON array without decoding them, so that one that is
// invalid or too deeply nested for the decoder does not hide the others.
func splitArray(raw []byte) ([]json.RawMessage, error) {
	const space = " \t\r\n"
	body := strings.Trim(string(raw), space)
	if len(body) < 2 || body[0] != '[' || body[len(body)-1] != ']' {
		return nil, fmt.Errorf("%w: it is no list", ErrMemberList)
	}
	body = body[1 : len(body)-1]
	if strings.Trim(body, space) == "" {
		return nil, nil
	}
	var parts []json.RawMessage
	depth, begin, quoted := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++ // the next byte is escaped
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			parts = append(parts, json.RawMessage(body[begin:i]))
			begin = i + 1
		}
		if depth < 0 {
			return nil, fmt.Errorf("%w: its brackets do not match", ErrMemberList)
		}
	}
	if quoted || depth != 0 {
		return nil, fmt.Errorf("%w: it is incomplete", ErrMemberList)
	}
	return append(parts, json.RawMessage(body[begin:])), nil
}
