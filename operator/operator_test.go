package operator_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/administrator"
	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// fleet is one in-memory keeper behind two administration listeners.
type fleet struct {
	applier applier.Applier
	index   uint64
	urls    []string
}

func newFleet() *fleet {
	f := &fleet{}
	for range 2 {
		srv := httptest.NewServer(administrator.New(administrator.Config{
			Key: []byte("fleet"), Applier: &f.applier, Call: f.call,
			Confirm: func(context.Context) (uint64, error) { return f.index, nil },
		}))
		DeferCleanup(srv.Close)
		f.urls = append(f.urls, srv.URL)
	}
	return f
}

func (f *fleet) call(_ context.Context, _ messenger.Kind, v, out any) error {
	c, err := applier.DecodeCommand(v.(*messenger.Propose).Data)
	if err != nil {
		return err
	}
	f.index++
	out.(*messenger.Proposed).Data = f.applier.Apply(f.index, c.Stamp(time.Unix(1000, 0)))
	return nil
}

func (f *fleet) operator() *operator.Operator {
	return &operator.Operator{Bases: f.urls, Token: operator.FleetToken([]byte("fleet"))}
}

// lossyTransport drops the responses to the first POST requests, after the server has
// executed them.
type lossyTransport struct{ left int }

// RoundTrip implements http.RoundTripper.
func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost && l.left > 0 {
		l.left--
		_ = resp.Body.Close()
		return nil, errors.New("response dropped")
	}
	return resp, err
}

func writeFolder(text string) string {
	dir := GinkgoT().TempDir()
	Expect(os.WriteFile(filepath.Join(dir, "a.json"), []byte(text), 0o600)).To(Succeed())
	return dir
}

var _ = Describe("an operator", func() {
	ctx := context.Background()

	It("has a change accepted once if responses to it are lost", func() {
		f := newFleet()
		o := f.operator()
		o.Client = &http.Client{Transport: &lossyTransport{left: 2}}
		got, err := o.Apply(ctx, writeFolder(`{"limits": {"body": 1}}`), operator.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Version).To(BeEquivalentTo(1))
		Expect(f.index).To(BeEquivalentTo(3))
		Expect(f.applier.View().Version).To(BeEquivalentTo(1))
	})

	It("gets the first answer again for a repeated change id", func() {
		f := newFleet()
		dir := writeFolder(`{"limits": {"body": 1}}`)
		first, err := f.operator().Apply(ctx, dir, operator.Options{Change: "mine"})
		Expect(err).NotTo(HaveOccurred())
		second, err := f.operator().Apply(ctx, writeFolder(`{"limits": {"body": 2}}`), operator.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Version).To(BeEquivalentTo(2))
		repeated, err := f.operator().Apply(ctx, dir, operator.Options{Change: "mine"})
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated).To(Equal(first))
	})

	It("gets the change accepted first in a conflict", func() {
		f := newFleet()
		_, err := f.operator().Apply(ctx, writeFolder(`{"limits": {"body": 1}}`), operator.Options{Change: "winner"})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.operator().Apply(ctx, writeFolder(`{"limits": {"body": 2}}`), operator.Options{Change: "late"})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.operator().Apply(ctx, writeFolder(`{"limits": {"body": 3}}`), operator.Options{Base: 1})
		Expect(coder.Of(err).Code).To(Equal(coder.Conflict))
		Expect(err).To(MatchError(ContainSubstring(`change "late"`)))
	})

	It("gets an error for an invalid folder, a missing folder and a wrong token", func() {
		o := newFleet().operator()
		_, err := o.Apply(ctx, writeFolder(`{"limits": 1}`), operator.Options{})
		Expect(err).To(MatchError("4002 configuration invalid: a.json:1:12: want object, found number"))
		_, err = o.Apply(ctx, filepath.Join(writeFolder(""), "none"), operator.Options{})
		Expect(coder.Of(err).Code).To(Equal(coder.Invalid))
		o.Token = "wrong"
		_, err = o.Apply(ctx, writeFolder(`{}`), operator.Options{})
		Expect(coder.Of(err).Code).To(Equal(coder.Unauthenticated))
	})

	It("prints configuration, nodes and status", func() {
		f := newFleet()
		_, err := f.operator().Apply(ctx, writeFolder(`{"limits": {"body": 7}}`), operator.Options{})
		Expect(err).NotTo(HaveOccurred())
		var buf bytes.Buffer
		Expect(f.operator().Show(ctx, &buf)).To(Succeed())
		Expect(buf.String()).To(ContainSubstring(`"body": 7`))
		Expect(f.operator().Status(ctx, &buf)).To(Succeed())
	})
})

// Guards against answers of something that is no keeper, which a command reports as the fleet's.
var _ = Describe("a malformed answer of a listener", func() {
	DescribeTable("is passed over for that of another one",
		func(answer string) {
			bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}))
			DeferCleanup(bad.Close)
			o := newFleet().operator()
			o.Bases = append([]string{bad.URL}, o.Bases...)
			got, err := o.Configuration(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Version).To(BeZero())
		},
		Entry("status 000", "HTTP/1.1 000 X\r\n\r\n{\"error\":{\"code\":1011}}"),
		Entry("status 099", "HTTP/1.1 099 X\r\n\r\n{\"error\":{\"code\":4002}}"),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX-Own : 1\r\n\r\n{\"version\":7,\"confirmed\":true}"),
		Entry("another version", "HTTP/2.0 200 OK\r\n\r\n{\"version\":7,\"confirmed\":true}"),
	)
})
