package prover_test

import (
	endian "encoding/binary"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"bramleyshunt/crowder"
)

const (
	crowdMemoryBytes = 256 << 20 // of a process of the system per node, see CONTRIBUTING.md
	crowdFiles       = 600       // limit on the descriptors of each process
	crowdBodyBytes   = 8 << 20   // the default limit on a body
	crowdPromptBytes = 4 << 20   // about what the window of the model holds
	crowdSize        = 64
	crowdConnections = 1000
	incompletePart   = 8 // all but one connection in this many stop short of the end
	largeChunkBytes  = 64 << 10
	smallChunkBytes  = 64
	frameBytes       = 15 << 20 // just below the limit on a message between processes
	callHead         = "PUT /service/portal/list?wait=15 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + accountToken + "\r\n"
	promptHead       = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + accountToken + "\r\n"
)

// newCrowdFleet starts a fleet with a plain service whose processes may open few descriptors.
func newCrowdFleet(t *testing.T) *fleet {
	RegisterTestingT(t)
	SetDefaultEventuallyTimeout(eventTimeout)
	build()
	t.Cleanup(gexec.CleanupBuildArtifacts)
	limited := t.TempDir() + "/limited"
	Expect(os.WriteFile(limited, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", crowdFiles, binary), 0o700)).To(Succeed())
	unlimited := binary
	binary = limited
	t.Cleanup(func() { binary = unlimited })
	f := newFleet(t)
	f.plain(1)
	f.waitServed(0, "portal")
	return f
}

// ordinary returns the status of the answer to a small call through entry 0, on a connection
// of its own.
func (f *fleet) ordinary() int {
	http.DefaultClient.CloseIdleConnections()
	return f.call(0, http.MethodGet, "/service/portal/calm", "", "").status
}

// readStatus returns the status of keeper 0's answer to an operator.
func (f *fleet) readStatus() int {
	if f.status(0) == nil {
		return 0
	}
	return http.StatusOK
}

// expectBounded lets a crowd connect. It fails unless each of the processes lives and stays
// within its bounds, and an ordinary call is answered both while the crowd's connections are
// open and once they are closed.
func (f *fleet) expectBounded(t *testing.T, c *crowder.Crowder, ordinary func() int, processes ...*process) {
	t.Helper()
	var measured []func() (crowder.Usage, error)
	for _, p := range processes {
		measured = append(measured, crowder.Measure(p.session.Command.Process.Pid))
	}
	leave := c.Gather()
	for _, p := range processes {
		crowder.Settle(p.session.Command.Process.Pid)
	}
	during := ordinary()
	leave()
	after := ordinary()
	var failed []string
	for i, p := range processes {
		u, err := measured[i]()
		t.Logf("%s: memory %.1f MiB of %d, descriptors %d of %d", p.name, float64(u.Bytes)/(1<<20), crowdMemoryBytes>>20, u.Descriptors, crowdFiles)
		if err != nil || p.session.ExitCode() >= 0 {
			failed = append(failed, fmt.Sprintf("%s has ended: %v", p.name, err))
		}
		if u.Bytes > crowdMemoryBytes || u.Descriptors >= crowdFiles {
			failed = append(failed, fmt.Sprintf("%s has used %d bytes and %d descriptors", p.name, u.Bytes, u.Descriptors))
		}
	}
	if during != http.StatusOK || after != http.StatusOK {
		failed = append(failed, fmt.Sprintf("ordinary calls: %d beside the crowd, %d after it", during, after))
	}
	Expect(strings.Join(failed, "\n")).To(BeEmpty())
}

// uploads returns a crowd of callers of entry 0.
func (f *fleet) uploads(u crowder.Upload) *crowder.Crowder {
	return &crowder.Crowder{Addr: f.entryAddress(0), Size: crowdSize, Send: func(w io.Writer, n int) error {
		out := u
		if n%incompletePart == 0 {
			out.Missing = 0
		}
		return out.Send(w)
	}}
}

// opened returns a crowd that sends only text.
func opened(addr, text string) *crowder.Crowder {
	return &crowder.Crowder{Addr: addr, Size: crowdConnections, Send: func(w io.Writer, _ int) error {
		_, err := io.WriteString(w, text)
		return err
	}}
}

// frames returns a crowd that sends the first message of a connection between processes, too
// long for one and without its end.
func frames(addr string) *crowder.Crowder {
	head := string(endian.BigEndian.AppendUint32(nil, frameBytes))
	return &crowder.Crowder{Addr: addr, Size: crowdSize, Send: func(w io.Writer, _ int) error {
		_, err := io.WriteString(w, head+strings.Repeat("x", frameBytes-1))
		return err
	}}
}

// Each of these tests guards against a process that runs out of memory or descriptors, or no
// longer answers ordinary callers, because of what many connections hold together.

func TestFleetCrowdOfCallBodies(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, f.uploads(crowder.Upload{Head: callHead, Size: crowdBodyBytes, Missing: 1}), f.ordinary, f.entries[0], f.agents["portal-1"])
}

func TestFleetCrowdOfCallBodiesInLargeChunks(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, f.uploads(crowder.Upload{Head: callHead, Size: crowdBodyBytes, Missing: 1, Chunk: largeChunkBytes}), f.ordinary, f.entries[0], f.agents["portal-1"])
}

func TestFleetCrowdOfCallBodiesInSmallChunks(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, f.uploads(crowder.Upload{Head: callHead, Size: crowdBodyBytes, Missing: 1, Chunk: smallChunkBytes}), f.ordinary, f.entries[0], f.agents["portal-1"])
}

func TestFleetCrowdOfOversizeCallBodies(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, f.uploads(crowder.Upload{Head: callHead, Size: 2 * crowdBodyBytes, Missing: 1, Chunk: largeChunkBytes}), f.ordinary, f.entries[0], f.agents["portal-1"])
}

func TestFleetCrowdOfWaitingCallBodies(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, f.uploads(crowder.Upload{Head: callHead, Size: crowdBodyBytes - largeChunkBytes}), f.ordinary, f.entries[0], f.agents["portal-1"])
}

func TestFleetCrowdOfWaitingPrompts(t *testing.T) {
	f := newCrowdFleet(t)
	f.engine(2)
	f.waitServed(0, "letters")
	body := fmt.Sprintf(`{"model": "m", "stream": true, "prompt": %q}`, strings.Repeat("word ", crowdPromptBytes/5))
	text := promptHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	c := opened(f.entryAddress(0), text)
	c.Size = crowdSize
	f.expectBounded(t, c, f.ordinary, f.entries[0], f.agents["letters-2"])
}

func TestFleetCrowdOfIdleCallers(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, opened(f.entryAddress(0), ""), f.ordinary, f.entries[0])
}

func TestFleetCrowdOfUnauthenticatedBodies(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, opened(f.entryAddress(0), "POST /service/portal/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"), f.ordinary, f.entries[0])
}

func TestFleetCrowdOfOperators(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, opened(f.adminAddress(0), "POST /v1/configuration HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"), f.readStatus, f.keepers[0])
}

func TestFleetCrowdOfConfigurationBodies(t *testing.T) {
	f := newCrowdFleet(t)
	head := "POST /v1/configuration HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + operatorToken + "\r\n"
	c := f.uploads(crowder.Upload{Head: head, Start: `{"files": {"a.json": "`, Size: crowdBodyBytes, Missing: 1})
	c.Addr = f.adminAddress(0)
	f.expectBounded(t, c, f.readStatus, f.keepers[0])
}

func TestFleetCrowdOfPeersBeforeHandshake(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, frames(f.keeperAddress(0)), f.readStatus, f.keepers[0])
}

func TestFleetCrowdOfPeersOfAgent(t *testing.T) {
	f := newCrowdFleet(t)
	f.expectBounded(t, opened(fmt.Sprintf("%s.%d:9001", f.net, 101), ""), f.ordinary, f.agents["portal-1"])
}

// Guards against a bound on all connections together that refuses a single request within the
// limits.
func TestFleetServesLargestBodyInCalm(t *testing.T) {
	f := newCrowdFleet(t)
	for range 2 {
		r := f.call(0, http.MethodPut, "/service/portal/list", "", strings.Repeat("x", crowdBodyBytes-largeChunkBytes))
		Expect(r.status).To(Equal(http.StatusOK), r.text)
	}
}
