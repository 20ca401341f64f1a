package prover_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/faker"
	"bramleyshunt/loader"
	"bramleyshunt/messenger"
)

// tokenHash returns the hash of a token as configurations contain it.
func tokenHash(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// reply is the outcome of one HTTP call.
type reply struct {
	status int    // zero if no complete response arrived
	code   string // header Bramleyshunt-Code
	run    string // header Bramleyshunt-Run: whether the call was executed
	text   string // response body, or the error of the call
}

// call sends an HTTP request to entry i.
func (f *fleet) call(i int, method, path, key, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, f.entryURL(i)+path, strings.NewReader(body))
	if err != nil {
		return reply{text: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+accountToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{text: err.Error()}
	}
	h := resp.Header
	return reply{resp.StatusCode, h.Get("Bramleyshunt-Code"), h.Get("Bramleyshunt-Run"), string(text)}
}

// posts returns the bodies of the POSTs that plain target n executed on a path. It
// asks the target directly.
func (f *fleet) posts(n int, path string) []string {
	GinkgoHelper()
	var data []byte
	err := f.driver(n).Call(context.Background(), messenger.Run{Method: http.MethodGet, Path: path, Remaining: eventTimeout},
		func(c messenger.Chunk) error {
			data = append(data, c.Data...)
			return nil
		})
	Expect(err).NotTo(HaveOccurred())
	var list struct {
		Posts []string `json:"posts"`
	}
	Expect(json.Unmarshal(data, &list)).To(Succeed())
	return list.Posts
}

// occurrences returns how many of the posts have this body.
func occurrences(posts []string, body string) int {
	return len(posts) - len(slices.DeleteFunc(slices.Clone(posts), func(p string) bool { return p == body }))
}

// waitServed waits until entry i answers requests to each of the services.
func (f *fleet) waitServed(i int, services ...string) {
	GinkgoHelper()
	for _, service := range services {
		Eventually(func() bool {
			if service == "letters" {
				return allComplete(f.load(loader.Plan{Requests: 1, Timeout: 5 * time.Second}, i))
			}
			return f.call(i, http.MethodGet, "/service/"+service+"/jobs", "", "").status == http.StatusOK
		}).Should(BeTrue(), "%s at entry %d", service, i)
	}
}

// waitReached waits until each of the engines has prefilled a prompt sent through
// entry i.
func (f *fleet) waitReached(i int, engines ...int) {
	GinkgoHelper()
	seed := uint64(0)
	for _, n := range engines {
		Eventually(func() bool {
			seed++
			f.load(loader.Plan{Seed: seed, Requests: 4, Timeout: 5 * time.Second}, i)
			r, err := f.driver(n).Report(context.Background())
			return err == nil && r.Cached > 0
		}).Should(BeTrue(), "engine %d through entry %d", n, i)
	}
}

// load sends prompts according to plan through the given entries. It uses a new
// connection for every request.
func (f *fleet) load(plan loader.Plan, entries ...int) *loader.Report {
	l := &loader.Loader{Token: accountToken, Model: "m", Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	l.Check = func(prompt string, output int, text string) bool { return text == faker.Answer(prompt, output) }
	for _, i := range entries {
		l.EntryURLs = append(l.EntryURLs, f.entryURL(i))
	}
	if plan.Mix == nil {
		plan.Mix = []loader.Share{{Weight: 1, Min: 1000, Max: 4000}}
	}
	return l.Run(context.Background(), plan)
}

// allComplete reports whether every request received its complete answer.
func allComplete(r *loader.Report) bool {
	return len(r.Invalid()) == 0 && r.Codes()[coder.OK] == len(r.Outcomes)
}

// expectComplete fails the test unless every request received its complete answer.
func expectComplete(r *loader.Report) {
	GinkgoHelper()
	for _, o := range r.Outcomes {
		Expect(o.Valid() && o.Code == coder.OK).To(BeTrue(), "request %d: code %d late %t wrong %t %s", o.Number, o.Code, o.Late, o.Wrong, o.Detail)
	}
}

// expectSettled fails the test unless every request received its complete answer or
// an error code in time.
func expectSettled(r *loader.Report) {
	GinkgoHelper()
	for _, o := range r.Invalid() {
		Fail("request ended past its deadline, without a code or with a wrong answer: " + o.Detail)
	}
}

// usedMemory returns a function that returns the KV memory in tokens that engine n
// holds for requests, or -1 if the engine does not answer.
func (f *fleet) usedMemory(n int) func() int {
	return func() int {
		r, err := f.driver(n).Report(context.Background())
		if err != nil {
			return -1
		}
		return r.Used
	}
}
