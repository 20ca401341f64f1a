package fetcher_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/fetcher"
)

// fetch sends a request to a server that reads it, unless early is set, writes text and closes
// the connection. The client reads one byte at a time.
func fetch(t *testing.T, method, request, text string, early bool) (string, error) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go serve(l, text, early)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wrapped{fetcher.Watch(slowReader{c})}, nil
	}}
	req, err := http.NewRequest(method, "http://"+l.Addr().String(), strings.NewReader(request))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := (&fetcher.Fetcher{Transport: transport}).RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	_, again := resp.Body.Read(make([]byte, 1))
	g.Expect(again).To(HaveOccurred(), "a body that has ended stays so")
	return string(data), err
}

func serve(l net.Listener, text string, early bool) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(conn, text)
	if early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// slowReader returns one byte per read.
type slowReader struct{ net.Conn }

func (c slowReader) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(1, len(p))]) }

// wrapped hides a watched connection as others do.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

// Guards against whole answers that are refused.
func TestWholeAnswersAreReturned(t *testing.T) {
	for name, text := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"no length":        "HTTP/1.1 200 OK\r\n\r\nbody",
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-End: 1\r\n\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nX-Own: 1\r\n\r\nbody",
		"after another":    "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"status above 599": "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for _, early := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				got, err := fetch(t, http.MethodPost, "request", text, early)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal("body"))
			})
		}
	}
	t.Run("HEAD", func(t *testing.T) {
		_, err := fetch(t, http.MethodHead, "", "HTTP/1.1 200 OK\r\n\r\n", false)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against answers that net/http takes for well-formed.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":            "HTTP/1.1 000 X\r\n\r\n",
		"status with a sign":    "HTTP/1.1 +42 X\r\n\r\n",
		"version":               "HTTP/3.0 200 OK\r\n\r\n",
		"name":                  "HTTP/1.1 200 OK\r\nX Own: 1\r\n\r\n",
		"name, informational":   "HTTP/1.1 103 X\r\nX Own: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"name, trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Own: 1\r\n\r\n",
		"many informational":    strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 in chunks":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0, long head":   "HTTP/1.0 200 OK\r\nX-Own: " + strings.Repeat("x", 20_000) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0, bare ending": "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fetch(t, http.MethodPost, "request", text, false)
			NewWithT(t).Expect(errors.Is(err, fetcher.ErrMalformed)).To(BeTrue(), "%v", err)
		})
	}
}
