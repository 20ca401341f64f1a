package acceptor_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/acceptor"
)

const (
	maxConns = 3
	timeout  = 10 * time.Second
)

// server is an HTTP server behind an Acceptor. Requests for /held wait.
type server struct {
	t        *testing.T
	g        *WithT
	addr     string
	arrived  chan struct{} // receives when a request is held
	release  chan struct{}
	registry metrics.Registry
}

func newServer(t *testing.T, cfg acceptor.Config) *server {
	s := &server{t: t, g: NewWithT(t), arrived: make(chan struct{}, 100), release: make(chan struct{}), registry: metrics.NewRegistry()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	cfg.Name, cfg.Metrics = "test", s.registry
	a := acceptor.New(l, cfg)
	srv := a.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/unread" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if r.URL.Path == "/held" {
			s.arrived <- struct{}{}
			<-s.release
		}
	}))
	go func() { _ = srv.Serve(a) }()
	t.Cleanup(func() { _ = srv.Close() })
	s.addr = l.Addr().String()
	return s
}

// client is one connection to a server.
type client struct {
	s    *server
	conn net.Conn
	br   *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = conn.Close() })
	s.g.Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
	return &client{s: s, conn: conn, br: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.s.t.Helper()
	_, err := io.WriteString(c.conn, text)
	c.s.g.Expect(err).NotTo(HaveOccurred())
}

func (c *client) expectAnswer(status int) {
	c.s.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	c.s.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	c.s.g.Expect(err).NotTo(HaveOccurred())
	c.s.g.Expect(resp.StatusCode).To(Equal(status))
}

func (c *client) expectClosed() {
	c.s.t.Helper()
	_, err := c.br.ReadByte()
	c.s.g.Expect(err).To(HaveOccurred())
	c.s.g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection is open")
}

func (s *server) expectOpen(n int) {
	s.t.Helper()
	s.g.Eventually(func() int64 { return metrics.GetOrRegisterGauge("connections.test.open", s.registry).Value() }, timeout).Should(Equal(int64(n)))
}

func (s *server) counted(name string) int64 {
	return metrics.GetOrRegisterCounter("connections.test."+name, s.registry).Count()
}

func get(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path) }

// Guards against idle and incomplete connections that keep ordinary clients out.
func TestNewConnectionReplacesTheOneWaitingLongest(t *testing.T) {
	s := newServer(t, acceptor.Config{Max: maxConns})
	idle := s.dial()
	idle.send(get("/"))
	idle.expectAnswer(http.StatusOK)
	partHead := s.dial()
	partHead.send("GET / HT")
	partBody := s.dial()
	partBody.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
	s.expectOpen(maxConns)
	for i, oldest := range []*client{idle, partHead, partBody} {
		c := s.dial()
		c.send(get("/held"))
		<-s.arrived
		oldest.expectClosed()
		s.g.Expect(s.counted("evicted")).To(Equal(int64(i + 1)))
		s.expectOpen(maxConns)
	}
	close(s.release)
}

// Guards against a connection that is closed although its request has arrived completely.
func TestConnectionWithCompleteRequestIsKept(t *testing.T) {
	for name, request := range map[string]string{
		"without a body":        get("/held"),
		"with a body":           "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"with a body in chunks": "POST /held HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, acceptor.Config{Max: maxConns})
			var all []*client
			for range maxConns {
				c := s.dial()
				c.send(request)
				<-s.arrived
				all = append(all, c)
			}
			s.dial().expectClosed()
			s.g.Expect(s.counted("refused")).To(Equal(int64(1)))
			close(s.release)
			for _, c := range all {
				c.expectAnswer(http.StatusOK)
			}
			again := s.dial() // in place of one that is idle now
			again.send(get("/"))
			again.expectAnswer(http.StatusOK)
		})
	}
}

// Guards against a client that waits in vain, as the server asks neither for the body of a
// refused request nor answers it.
func TestRefusalComesBeforeExpectedBody(t *testing.T) {
	s := newServer(t, acceptor.Config{})
	c := s.dial()
	c.send("POST /unread HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
	c.expectAnswer(http.StatusOK)
}

// Guards against heads of up to a megabyte on each connection, the default of net/http.
func TestLongHeadIsRefused(t *testing.T) {
	s := newServer(t, acceptor.Config{})
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: ")
	long := make([]byte, 2*acceptor.MaxHeadBytes)
	for i := range long {
		long[i] = 'x'
	}
	_, _ = c.conn.Write(long) // the server may close the connection meanwhile
	c.expectAnswer(http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against connections that stay open because a body that nobody reads does not end.
func TestUnreadBodyEndsInTime(t *testing.T) {
	s := newServer(t, acceptor.Config{BodyTimeout: 50 * time.Millisecond})
	for _, path := range []string{"/unread", "/"} {
		c := s.dial()
		c.send("POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
		c.expectAnswer(http.StatusOK)
		c.expectClosed()
	}
	s.expectOpen(0)
}

// Guards against a time for the body that ends a request which has arrived completely.
func TestTimeOfBodyDoesNotBoundTheRequest(t *testing.T) {
	s := newServer(t, acceptor.Config{BodyTimeout: 50 * time.Millisecond})
	c := s.dial()
	for range 2 {
		c.send("POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
		<-s.arrived
		<-time.After(100 * time.Millisecond)
		s.release <- struct{}{}
		c.expectAnswer(http.StatusOK)
	}
}
