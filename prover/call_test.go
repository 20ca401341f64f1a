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

func digest(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// reply is the end of one plain call.
type reply struct {
	status int // zero: the connection was lost
	code   string
	run    string
	text   string
}

// call sends a plain call through entry i.
func (f *fleet) call(i int, method, path, key, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, f.entryURL(i)+path, strings.NewReader(body))
	if err != nil {
		return reply{text: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+token)
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

// posts lists the bodies that plain target n executed on a path, past the system.
func (f *fleet) posts(n int, path string) []string {
	GinkgoHelper()
	var data []byte
	err := f.driver(n).Call(context.Background(), messenger.Run{Method: http.MethodGet, Path: path, Remaining: patience},
		func(c messenger.Chunk) error {
			data = append(data, c.Data...)
			return nil
		})
	Expect(err).NotTo(HaveOccurred())
	var out struct {
		Posts []string `json:"posts"`
	}
	Expect(json.Unmarshal(data, &out)).To(Succeed())
	return out.Posts
}

func times(posts []string, body string) int {
	return len(posts) - len(slices.DeleteFunc(slices.Clone(posts), func(p string) bool { return p == body }))
}

// served waits until entry i answers prompts and calls of every service named.
func (f *fleet) served(i int, services ...string) {
	GinkgoHelper()
	for _, s := range services {
		Eventually(func() bool {
			if s == "letters" {
				return whole(f.load(loader.Plan{Requests: 1, Timeout: 5 * time.Second}, i))
			}
			return f.call(i, http.MethodGet, "/service/"+s+"/jobs", "", "").status == http.StatusOK
		}).Should(BeTrue(), "%s at entry %d", s, i)
	}
}

// reached waits until entry i has had a prompt answered by each engine numbered.
func (f *fleet) reached(i int, engines ...int) {
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

// load sends prompts through the entries numbered.
func (f *fleet) load(plan loader.Plan, entries ...int) *loader.Report {
	l := &loader.Loader{Token: token, Model: "m", Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	l.Check = func(prompt string, output int, text string) bool { return text == faker.Answer(prompt, output) }
	for _, i := range entries {
		l.EntryURLs = append(l.EntryURLs, f.entryURL(i))
	}
	if plan.Mix == nil {
		plan.Mix = []loader.Share{{Weight: 1, Min: 1000, Max: 4000}}
	}
	return l.Run(context.Background(), plan)
}

func whole(r *loader.Report) bool {
	return len(r.Invalid()) == 0 && r.Codes()[coder.OK] == len(r.Outcomes)
}

// expectWhole fails unless every request got its whole answer.
func expectWhole(r *loader.Report) {
	GinkgoHelper()
	for _, o := range r.Outcomes {
		Expect(o.Valid() && o.Code == coder.OK).To(BeTrue(), "request %d: code %d late %t wrong %t %s", o.Number, o.Code, o.Late, o.Wrong, o.Detail)
	}
}

// expectSettled fails unless every request got its whole answer or a code in time.
func expectSettled(r *loader.Report) {
	GinkgoHelper()
	for _, o := range r.Invalid() {
		Fail("request was late, cut or wrong: " + o.Detail)
	}
}

// used returns the memory that stand-in n holds for requests, in tokens.
func (f *fleet) used(n int) func() int {
	return func() int {
		r, err := f.driver(n).Report(context.Background())
		if err != nil {
			return -1
		}
		return r.Used
	}
}
