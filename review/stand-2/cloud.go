package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// cloud is a stand-in of the platform's machine service.
type cloud struct {
	world    *world
	mu       sync.Mutex
	machines map[string]*machine
}

// machine is one machine of the platform with its minion.
type machine struct {
	minion *minion
	state  string
	begun  bool // its upkeep has begun
	wave   int64
}

func (c *cloud) add(m *minion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[m.machine] = &machine{minion: m, state: "up"}
}

func (c *cloud) setState(name, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[name].state = state
}

// hasBegun reports whether the upkeep of a machine has begun, and whether the machine is there.
func (c *cloud) hasBegun(name string) (begun, exists bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	return m != nil && m.begun, m != nil
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	mux.HandleFunc("POST /v1/machine-upkeep", c.upkeep)
	return mux
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	rows := []map[string]any{}
	for name, m := range c.machines {
		rows = append(rows, map[string]any{
			"machine": name, "pool": service, "state": m.state, "zone": "z", "labels": []string{"a", m.minion.rack},
			"capacity": map[string]int64{"cpu": 128_000, "mem_mb": 262_144, "gpu": m.minion.gpus}, "id": m.minion.worker.ID(),
		})
	}
	c.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i]["machine"].(string) < rows[j]["machine"].(string) })
	reply(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// upkeep takes a machine down for upkeepTime. It answers 200 too if that was done already for the wave.
func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	c.mu.Lock()
	m := c.machines[body.Machine]
	status, reason, down := http.StatusOK, "", false
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case m.begun && m.wave == body.Wave:
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		m.begun, m.wave, m.state, down = true, body.Wave, "upkeep", true
	}
	c.mu.Unlock()
	c.world.note("platform: POST /v1/machine-upkeep %s of wave %d by %s with token %s -> %d %s", body.Machine, body.Wave,
		r.Header.Get("Heatherfront-Lease-Holder"), r.Header.Get("Heatherfront-Fencing-Token"), status, reason)
	if down {
		m.minion.crash(upkeepTime, "goes down for upkeep")
		c.setState(body.Machine, "upkeep")
	}
	reply(rw, status, map[string]any{"reason": reason})
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// wave asks for the upkeep of machines, as an operator does.
func (c *cloud) wave(number int, machines []string, most int) error {
	c.world.note("operator: op/wave/%d for %v, cap %d", number, machines, most)
	return c.world.store.Set("op/wave/"+itoa(number), map[string]any{"wave": number, "machines": machines, "deadline_s": 20, "cap": most})
}

// waveState returns the state of a wave that the system shows, or "".
func (c *cloud) waveState(number int) string {
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(c.world.store.Value("status/wave/"+itoa(number)), &status)
	return status.State
}

// settle is the time in which instances learn of new machines.
const settle = 3600 * time.Millisecond
