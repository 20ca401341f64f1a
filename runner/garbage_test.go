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

// garbage is what strangers may send to any port.
var garbage = []string{
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

// sendTo sends data to a port, ends sending and reads what comes back until the
// other end closes.
func sendTo(port, data string) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", port)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
	_, _ = io.WriteString(conn, data) // the other end may have closed already
	_ = conn.(*net.TCPConn).CloseWrite()
	_, err = io.Copy(io.Discard, conn)
	if e, ok := err.(net.Error); ok {
		Expect(e.Timeout()).To(BeFalse(), "%s keeps a connection open after %q", port, data[:min(len(data), 20)])
	}
}

var _ = Describe("garbage on every port", func() {
	It("closes its own connection and disturbs nothing else", func() {
		d := start("laufspur", map[string]int{"erzaehler": 1, "spurbuch": 1})
		d.apply(d.fleetToken(), nil)
		for _, p := range d.places {
			p.ready()
		}
		for _, port := range d.ports {
			for _, data := range garbage {
				sendTo(port, data)
			}
		}
		for _, p := range d.places {
			req, err := http.NewRequest(http.MethodPost, p.url+"/v1/completions", strings.NewReader(completion("erzaehler", "Wetter", 4, false)))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+example("crews-trail"))
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})
})
