package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mimosadock/standin/fleet"
)

// Indices of the listeners of a scheduler.
const (
	callers = iota
	ready
	peers
	operators
)

const ordinaryJob = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":10}]}`

// openScheduler starts a scheduler on a simulated platform and returns it with
// its address, once it serves.
func openScheduler(t *testing.T) (*program, *fleet.Loopback) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	t.Cleanup(fleet.NewExecutor(store, "i-0", "s").Close)
	store.Put("keyed.op", "config", fleet.Config(1, "s", "q.example", "/q/"))
	host, err := fleet.ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	path := filepath.Join(t.TempDir(), "node.yaml")
	text := fmt.Sprintf("node_name: n\nip: %s\nbind_addresses: {frontend: %q, ready: %q}\nport_range: [%d, %d]\nlimits: {memory_mb: %d, max_fds: %d}\nbounds: {max_hold_ms: 6000, grace_s: 2}\nplatform: {address: %q, min_ttl_ms: 1000}\n",
		host.IP(), host.Address(callers), host.Address(ready), host.Port(peers), host.Port(operators), hostMemory, maxDescriptors, store.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, []string{"MIMOSADOCK_CONFIG=" + path}, "scheduler", "--shards", "1")
	p.awaitOK(http.MethodPost, "http://"+host.Address(callers)+"/q/00000000000000ff", ordinaryJob)
	return p, host
}

// TestSchedulerSurvives guards against clients that make a scheduler exceed the
// memory or the descriptors of its host by what they send or keep open.
func TestSchedulerSurvives(t *testing.T) {
	padded := jobOf(`{"spec":"x",`)
	get := fmt.Appendf(nil, "GET /q/%s HTTP/1.1\r\nHost: q.example\r\n\r\n", jobID(0))
	// Each of these decodes to many times its size.
	manySteps := []byte(`{"spec":"x","steps":[{}` + strings.Repeat(",{}", bodySize/3-20) + `]}`)
	manyPredecessors := []byte(`{"spec":"x","steps":[{"count":1},{"count":1,"after":[0` + strings.Repeat(",0", bodySize/2-40) + `]}]}`)
	manyTasks := []byte(`{"spec":"x","steps":[{"count":10000,"cpu":100,"mem_mb":10,"estimated_ms":1000}]}`)
	longNumber := []byte(`{"spec":"x","steps":[{"count":1` + strings.Repeat("0", bodySize-60) + `}]}`)
	longLabel := []byte(`{"spec":"x","steps":[{"count":1,"node_selector":"` + strings.Repeat("n", bodySize-60) + `"}]}`)
	for name, test := range map[string]struct {
		listener int
		size     int
		member   member
	}{
		"whole bodies":                 {callers, 300, func(n int) [][]byte { return whole(n, padded, 0) }},
		"whole bodies, stopped":        {callers, 300, func(n int) [][]byte { return whole(n, padded, missing) }},
		"bodies in pieces":             {callers, 300, func(n int) [][]byte { return inPieces(whole(n, padded, 0)) }},
		"bodies in pieces, stopped":    {callers, 300, func(n int) [][]byte { return inPieces(whole(n, padded, missing)) }},
		"large chunks":                 {callers, 300, func(n int) [][]byte { return chunked(n, padded, 64<<10, 0) }},
		"large chunks, stopped":        {callers, 300, func(n int) [][]byte { return chunked(n, padded, 64<<10, missing) }},
		"small chunks":                 {callers, 300, func(n int) [][]byte { return chunked(n, padded, 64, 0) }},
		"small chunks, stopped":        {callers, 300, func(n int) [][]byte { return chunked(n, padded, 64, missing) }},
		"small chunks in pieces":       {callers, 300, func(n int) [][]byte { return inPieces(chunked(n, padded, 64, missing)) }},
		"jobs of many steps":           {callers, 100, func(n int) [][]byte { return whole(n, manySteps, 0) }},
		"jobs of many predecessors":    {callers, 300, func(n int) [][]byte { return whole(n, manyPredecessors, 0) }},
		"jobs of many tasks":           {callers, 300, func(n int) [][]byte { return whole(n, manyTasks, 0) }},
		"jobs with long labels":        {callers, 300, func(n int) [][]byte { return whole(n, longLabel, 0) }},
		"jobs with long numbers":       {callers, 300, func(n int) [][]byte { return whole(n, longNumber, 0) }},
		"unknown methods":              {callers, 300, unknownMethods},
		"open headers":                 {callers, 900, func(int) [][]byte { return [][]byte{openHead(12 << 10)} }},
		"open headers, short fields":   {callers, 900, func(int) [][]byte { return [][]byte{shortFields(12 << 10)} }},
		"idle connections":             {callers, 900, func(int) [][]byte { return nil }},
		"idle after a request":         {callers, 900, func(int) [][]byte { return [][]byte{get} }},
		"pipelined requests":           {callers, 300, func(int) [][]byte { return [][]byte{bytes.Repeat(get, 2000)} }},
		"idle at the readiness check":  {ready, 900, func(int) [][]byte { return nil }},
		"open headers at the check":    {ready, 900, func(int) [][]byte { return [][]byte{openHead(12 << 10)} }},
		"bodies at the check":          {ready, 300, func(n int) [][]byte { return whole(n, padded, missing) }},
		"idle connections of peers":    {peers, 900, func(int) [][]byte { return nil }},
		"open headers at the peers":    {peers, 900, func(int) [][]byte { return [][]byte{openHead(12 << 10)} }},
		"idle operators":               {operators, 900, func(int) [][]byte { return nil }},
		"open headers at the operator": {operators, 900, func(int) [][]byte { return [][]byte{openHead(12 << 10)} }},
	} {
		t.Run(name, func(t *testing.T) {
			p, host := openScheduler(t)
			c := openCrowd(host.Address(test.listener), test.size, test.member)
			defer c.close()
			p.settle()
			p.awaitOK(http.MethodPost, "http://"+host.Address(callers)+"/q/00000000000000aa", ordinaryJob)
			p.awaitOK(http.MethodGet, "http://"+host.Address(ready)+"/-/readyz", "")
			p.check()
		})
	}
}
