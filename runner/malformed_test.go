package runner_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// malformedInputs are bytes that no listener accepts as a complete request.
var malformedInputs = []string{
	"",
	"\x00",
	"\x00\x00\x00\x05ab",
	"\xff\xff\xff\xff",
	"\x00\x00\x00\x01\xc1",
	"GET / HTTP/1.1\r\n\r\n",
	"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	strings.Repeat("\xa5", 1<<16),
}

// sendRaw sends data to an address, closes the sending side and reads until the
// server closes the connection.
func sendRaw(addr, data string) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
	_, _ = io.WriteString(conn, data) // the server may have closed the connection already
	_ = conn.(*net.TCPConn).CloseWrite()
	_, err = io.Copy(io.Discard, conn)
	if e, ok := err.(net.Error); ok {
		Expect(e.Timeout()).To(BeFalse(), "%s keeps the connection open after %q", addr, data[:min(len(data), 20)])
	}
}

var _ = Describe("malformed input on every listener", func() {
	It("closes only the connection that sent it, and requests still succeed", func() {
		d := start("laufspur", map[string]int{"erzaehler": 1, "spurbuch": 1})
		d.apply(d.fleetToken(), nil)
		for _, n := range d.nodes {
			n.waitReady()
		}
		for _, addr := range d.addrs {
			for _, data := range malformedInputs {
				sendRaw(addr, data)
			}
		}
		for _, n := range d.nodes {
			req, err := http.NewRequest(http.MethodPost, n.url+"/v1/completions", strings.NewReader(completion("erzaehler", "Wetter", 4, false)))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+exampleToken("crews-trail"))
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})
})
