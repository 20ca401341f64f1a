package faker_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
	"bramleyshunt/messenger"
)

// call makes a plain call and returns its chunks.
func call(d *driver.Driver, method, path, body string) ([]messenger.Chunk, error) {
	var chunks []messenger.Chunk
	r := messenger.Run{Attempt: "a", Method: method, Path: path, Body: []byte(body), Remaining: 5 * time.Second}
	err := d.Call(ctx, r, func(c messenger.Chunk) error {
		chunks = append(chunks, c)
		return nil
	})
	return chunks, err
}

var _ = Describe("a plain service", func() {
	It("executes what is posted and keeps it across a kill", func() {
		f, d := begin(faker.Config{Kind: faker.KindPlain})
		chunks, err := call(d, "POST", "/pings", "runner 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].Status).To(Equal(200))
		Expect(chunks[0].Seq).To(Equal(uint64(1)))
		Expect(chunks[0].Headers).To(ContainElement(messenger.Header{Name: "Content-Type", Value: "application/json"}))
		Expect(f.Restart()).To(Succeed())
		chunks, err = call(d, "GET", "/pings", "")
		Expect(err).NotTo(HaveOccurred())
		var answer struct{ Posts []string }
		Expect(json.Unmarshal(chunks[0].Data, &answer)).To(Succeed())
		Expect(answer.Posts).To(Equal([]string{"runner 7"}))
		Expect(f.Posts("/pings", "runner 7")).To(Equal(1))
	})

	It("may have executed a call whose answer was lost", func() {
		f, d := begin(faker.Config{Kind: faker.KindPlain})
		out := make(chan error, 1)
		go func() {
			_, err := call(d, "POST", "/pings?slow=60", "x")
			out <- err
		}()
		Eventually(func() int { return f.Posts("/pings", "x") }).Should(Equal(1))
		f.Kill()
		var err error
		Eventually(out).Should(Receive(&err))
		expectCode(err, coder.TargetLost)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown))
		_, err = call(d, "POST", "/pings", "x")
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
	})

	It("passes on statuses, and times out with a code", func() {
		f, d := begin(faker.Config{Kind: faker.KindPlain})
		chunks, err := call(d, "GET", "/x?status=404", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].Status).To(Equal(404))
		r := messenger.Run{Method: "POST", Path: "/x?wait=60", Remaining: 20 * time.Millisecond}
		expectCode(d.Call(ctx, r, nil), coder.DeadlineExceeded)
		Expect(f.Posts("/x", "")).To(BeZero())
		rep, err := d.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.Incarnation).NotTo(BeZero())
	})
})
