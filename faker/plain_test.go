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

// call sends a call to a plain service and returns the chunks of the response.
func call(d *driver.Driver, method, path, body string) ([]messenger.Chunk, error) {
	var chunks []messenger.Chunk
	r := messenger.Run{Attempt: "a", Method: method, Path: path, Body: []byte(body), Remaining: 5 * time.Second}
	err := d.Call(ctx, r, func(c messenger.Chunk) error {
		chunks = append(chunks, c)
		return nil
	})
	return chunks, err
}

var _ = Describe("A plain service", func() {
	It("executes POSTs and keeps their record across a restart", func() {
		f, d := startTarget(faker.Config{Kind: faker.KindPlain})
		chunks, err := call(d, "POST", "/pings", "runner 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].Status).To(Equal(200))
		Expect(chunks[0].Seq).To(Equal(uint64(1)))
		Expect(chunks[0].Headers).To(ContainElement(messenger.Header{Name: "Content-Type", Value: "application/json"}))
		Expect(f.Restart()).To(Succeed())
		chunks, err = call(d, "GET", "/pings", "")
		Expect(err).NotTo(HaveOccurred())
		var list struct{ Posts []string }
		Expect(json.Unmarshal(chunks[0].Data, &list)).To(Succeed())
		Expect(list.Posts).To(Equal([]string{"runner 7"}))
		Expect(f.PostCount("/pings", "runner 7")).To(Equal(1))
	})

	It("may have executed a call whose response was lost", func() {
		f, d := startTarget(faker.Config{Kind: faker.KindPlain})
		outcome := make(chan error, 1)
		go func() {
			_, err := call(d, "POST", "/pings?slow=60", "x")
			outcome <- err
		}()
		Eventually(func() int { return f.PostCount("/pings", "x") }).Should(Equal(1))
		f.Kill()
		var err error
		Eventually(outcome).Should(Receive(&err))
		expectCode(err, coder.TargetLost)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown))
		_, err = call(d, "POST", "/pings", "x")
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
	})

	It("answers with the requested status, and ends with an error code at the deadline", func() {
		f, d := startTarget(faker.Config{Kind: faker.KindPlain})
		chunks, err := call(d, "GET", "/x?status=404", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].Status).To(Equal(404))
		r := messenger.Run{Method: "POST", Path: "/x?wait=60", Remaining: 20 * time.Millisecond}
		expectCode(d.Call(ctx, r, nil), coder.DeadlineExceeded)
		Expect(f.PostCount("/x", "")).To(BeZero())
		rep, err := d.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.Incarnation).NotTo(BeZero())
	})
})
