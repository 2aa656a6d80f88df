package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"mimosadock/standin/fleet"
)

// openEntry starts an entry process on a simulated platform with two upstreams
// and returns it with its address for callers, once it serves.
func openEntry(t *testing.T) (*program, string) {
	host, err := fleet.ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	journal, hosts, caller := host.Address(0), host.Address(1), host.Address(3)
	start(t, nil, "standin", "--journal", journal, "--hosts", hosts, "--operator", host.Address(2), "--upstream-address", host.IP())
	out, err := exec.Command(filepath.Join(programs, "load"), "configure", "--journal", journal, "--hosts", hosts).CombinedOutput()
	if err != nil {
		t.Fatalf("configuration: %v\n%s", err, out)
	}
	limits := []string{"MIMOSA_MEMORY=" + strconv.Itoa(hostMemory), "MIMOSA_DESCRIPTORS=" + strconv.Itoa(maxDescriptors)}
	p := start(t, limits, "entry", "--listen", caller, "--operator", host.Address(4), "--data-centre", "kelso",
		"--journal", journal, "--host-list", hosts, "--log-level", "warn")
	p.awaitOK(http.MethodPost, "http://"+caller+"/s/weigh/", "x")
	return p, caller
}

// entryHead returns the head of a request to a service with the given header
// lines.
func entryHead(service, lines string) []byte {
	return []byte("POST /s/" + service + "/ HTTP/1.1\r\nHost: h\r\nMimosa-Deadline-Ms: 60000\r\n" + lines + "\r\n")
}

// TestEntrySurvives guards against clients that make an entry process exceed the
// memory or the descriptors of its host by what they send or keep open.
func TestEntrySurvives(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 64<<10) // the largest that is read before a slot is taken
	stopped := func(service string) member {
		request := append(entryHead(service, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body[:len(body)-missing]...)
		return func(int) [][]byte { return [][]byte{request} }
	}
	streamed := func(size int) member {
		request := bytes.NewBuffer(entryHead("tags", "Transfer-Encoding: chunked\r\n"))
		for range 250_000 / size {
			fmt.Fprintf(request, "%x\r\n%s\r\n", size, body[:size])
		}
		return func(int) [][]byte { return [][]byte{request.Bytes()} }
	}
	get := []byte("GET /s/lookup/ HTTP/1.1\r\nHost: h\r\n\r\n")
	pieces := inPieces(stopped("tags")(0))
	for name, test := range map[string]struct {
		size   int
		member member
	}{
		"whole bodies, stopped":      {900, stopped("tags")},
		"bodies in pieces, stopped":  {900, func(int) [][]byte { return pieces }},
		"large chunks, stopped":      {300, streamed(60 << 10)},
		"small chunks, stopped":      {300, streamed(64)},
		"open headers":               {300, func(int) [][]byte { return [][]byte{openHead(900 << 10)} }},
		"open headers, short fields": {300, func(int) [][]byte { return [][]byte{shortFields(900 << 10)} }},
		"idle connections":           {900, func(int) [][]byte { return nil }},
		"idle after a request":       {900, func(int) [][]byte { return [][]byte{get} }},
		"pipelined requests":         {300, func(int) [][]byte { return [][]byte{bytes.Repeat(get, 2000)} }},
	} {
		t.Run(name, func(t *testing.T) {
			p, caller := openEntry(t)
			c := openCrowd(caller, test.size, test.member)
			defer c.close()
			p.settle()
			p.awaitOK(http.MethodPost, "http://"+caller+"/s/weigh/", "x")
			p.check()
		})
	}
}
