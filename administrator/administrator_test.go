package administrator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/administrator"
	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

func TestAdministrator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "administrator")
}

const (
	officeToken  = "office"
	officeDigest = "5cc3f82838ba7260203e4590ce03d00e1663d41f6a5167144f5c95d6be2166a0"
)

var key = []byte("fleet")

// api is an administration API with an in-memory keeper.
type api struct {
	administrator.Config
	applier applier.Applier
	index   uint64
	drained []string
}

func newAPI() *api {
	a := &api{}
	a.Config = administrator.Config{
		Key: key, Applier: &a.applier, Confirm: func(context.Context) (uint64, error) { return a.index, nil },
		Call: a.call,
		Drain: func(_ context.Context, id string) error {
			a.drained = append(a.drained, id)
			return nil
		},
	}
	return a
}

func (a *api) call(_ context.Context, _ messenger.Kind, v, out any) error {
	c, err := applier.DecodeCommand(v.(*messenger.Propose).Data)
	if err != nil {
		return err
	}
	a.index++
	*out.(*messenger.Proposed) = messenger.Proposed{Index: a.index, Data: a.applier.Apply(a.index, c.Stamp(time.Unix(1000, 0)))}
	return nil
}

// send sends a request and returns the status and the body of the response.
func (a *api) send(method, path, token, body string) (int, string) {
	GinkgoHelper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	administrator.New(a.Config).ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func (a *api) expectError(code coder.Code, method, path, token, body string) administrator.FailureBody {
	GinkgoHelper()
	status, text := a.send(method, path, token, body)
	Expect(status).To(Equal(code.Status()), text)
	var f administrator.Failure
	Expect(json.Unmarshal([]byte(text), &f)).To(Succeed())
	Expect(f.Error.Code).To(Equal(code), text)
	Expect(f.Error.Run).To(Equal("not-run"))
	return f.Error
}

func proposalJSON(base uint64, change string, data string) string {
	files := []messenger.File{{Name: "a.json", Data: []byte(data)}}
	out, err := json.Marshal(administrator.NewProposal(files, base, change))
	Expect(err).NotTo(HaveOccurred())
	return string(out)
}

const validFolder = `{"operators": {"office": {"token": "` + officeDigest + `"}}}`

var _ = Describe("the administration API", func() {
	var a *api
	BeforeEach(func() { a = newAPI() })

	It("accepts the fleet token until an operator is configured, then that operator's token", func() {
		status, body := a.send(http.MethodPost, "/v1/configuration", administrator.FleetToken(key), proposalJSON(0, "1", validFolder))
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(a.applier.History(1)[0].Operator).To(Equal("fleet key"))
		a.expectError(coder.Unauthenticated, http.MethodGet, "/v1/configuration", administrator.FleetToken(key), "")
		status, body = a.send(http.MethodGet, "/v1/configuration", officeToken, "")
		Expect(status).To(Equal(http.StatusOK))
		var shown administrator.Configuration
		Expect(json.Unmarshal([]byte(body), &shown)).To(Succeed())
		Expect(shown.Version).To(BeEquivalentTo(1))
		Expect(shown.Confirmed).To(BeTrue())
		Expect(shown.Files).To(Equal([]administrator.File{{Name: "a.json", Data: validFolder}}))
	})

	It("names the change accepted first in a conflict", func() {
		a.send(http.MethodPost, "/v1/configuration", administrator.FleetToken(key), proposalJSON(0, "first", validFolder))
		f := a.expectError(coder.Conflict, http.MethodPost, "/v1/configuration", officeToken, proposalJSON(0, "second", `{}`))
		Expect(f.Version).To(BeEquivalentTo(1))
		Expect(f.Winner.Change).To(Equal("first"))
	})

	It("lists every fault of an invalid folder and changes nothing", func() {
		f := a.expectError(coder.Invalid, http.MethodPost, "/v1/configuration", administrator.FleetToken(key),
			proposalJSON(0, "1", "{\"limits\": {\"body\": -1,\n\"crashes\": -2}}"))
		Expect(f.Faults).To(Equal([]string{
			"a.json:1:21: limits.body: -1 is not within 0 and 15728640",
			"a.json:2:12: limits.crashes: -2 is not within 0 and 100",
		}))
		Expect(a.index).To(BeZero())
	})

	DescribeTable("rejects", func(code coder.Code, method, path, token, body string) {
		if token == "key" {
			token = administrator.FleetToken(key)
		}
		a.expectError(code, method, path, token, body)
		Expect(a.index).To(BeZero())
	},
		Entry("no token", coder.Unauthenticated, http.MethodGet, "/v1/configuration", "", ""),
		Entry("a wrong token", coder.Unauthenticated, http.MethodGet, "/v1/nodes", "x", ""),
		Entry("an unknown path", coder.NotFound, http.MethodGet, "/v2", "key", ""),
		Entry("a method that the path does not allow", coder.MethodNotAllowed, http.MethodDelete, "/v1/nodes", "key", ""),
		Entry("a body that is not JSON", coder.Malformed, http.MethodPost, "/v1/configuration", "key", "{"),
		Entry("an unknown key", coder.Malformed, http.MethodPost, "/v1/configuration", "key", `{"bass": 1}`),
		Entry("more than one body", coder.Malformed, http.MethodPost, "/v1/configuration", "key", `{} {}`),
		Entry("a digest that is not hexadecimal", coder.Malformed, http.MethodPost, "/v1/configuration", "key", `{"digest": "x"}`),
		Entry("a body that is too large", coder.TooLarge, http.MethodPost, "/v1/configuration", "key", `"`+strings.Repeat("x", administrator.MaxBodyBytes)+`"`),
	)

	It("drains a target", func() {
		status, _ := a.send(http.MethodPost, "/v1/targets/t1/drain", administrator.FleetToken(key), "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(a.drained).To(Equal([]string{"t1"}))
	})

	It("serves metrics without a token, and no configuration outside keepers", func() {
		a.Applier = nil
		status, body := a.send(http.MethodGet, "/metrics", "", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(HavePrefix("{"))
		a.expectError(coder.NotFound, http.MethodGet, "/v1/configuration", administrator.FleetToken(key), "")
	})
})
