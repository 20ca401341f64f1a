package agent_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
)

// relay forwards connections and closes each after limit bytes in either direction.
type relay struct {
	to    string
	limit func() int64
}

func (r *relay) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			wg.Go(func() { r.forward(conn) })
		}
	})
	DeferCleanup(func() {
		_ = l.Close()
		cancel()
		wg.Wait()
	})
	return l.Addr().String()
}

func (r *relay) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	var wg sync.WaitGroup
	pass := func(dst, src net.Conn, limit int64) {
		_, _ = io.CopyN(dst, src, limit)
		_ = dst.Close()
		_ = src.Close()
	}
	limit := r.limit()
	wg.Go(func() { pass(out, in, limit) })
	pass(in, out, limit)
	wg.Wait()
}

// outcome is what an entry received of one attempt.
type outcome struct {
	id   string
	text string
	err  error
}

const chunkCount = 100

func fullAnswer() string {
	var b strings.Builder
	for i := range chunkCount {
		fmt.Fprint(&b, i+1)
	}
	return b.String()
}

// newRelay returns a relay that closes connections after 300 to 4,300 bytes, drawn
// from a generator with the given seed.
func newRelay(to string, seed uint64) *relay {
	rng := rand.New(rand.NewPCG(20261203, seed))
	var mu sync.Mutex
	return &relay{to: to, limit: func() int64 {
		mu.Lock()
		defer mu.Unlock()
		return 300 + rng.Int64N(4000)
	}}
}

// sendAttempts sends attempts through the relay. The entries work concurrently, and
// each sends its attempts in sequence. run returns the message for an attempt's ID.
func sendAttempts(n *node, r *relay, entries, each int, run func(id string) messenger.Run) []outcome {
	out := make([]outcome, entries*each)
	var wg sync.WaitGroup
	for i := range entries {
		pool, closer := pooler.New(muxer.Config{Node: fmt.Sprint("entry", i), Key: muxConfig.Key})
		DeferCleanup(closer)
		d := &dispatcher.Dispatcher{Pool: pool}
		DeferCleanup(d.Wait)
		addr := r.listen()
		wg.Go(func() {
			for k := range each {
				o := &out[i*each+k]
				o.id = fmt.Sprintf("%d-%d", i, k)
				o.err = sendAttempt(n, d, addr, o, run(o.id))
			}
		})
	}
	wg.Wait()
	return out
}

func sendAttempt(n *node, d *dispatcher.Dispatcher, addr string, o *outcome, run messenger.Run) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	run.Attempt, run.Incarnation, run.Remaining = o.id, n.agent.Target().Incarnation, time.Minute
	_, err := d.Do(ctx, dispatcher.Job{
		Address: addr,
		Reserve: *n.reserve(o.id),
		Run:     run,
		OnChunk: func(c messenger.Chunk) error {
			o.text += string(c.Data)
			return nil
		},
	})
	return err
}

var _ = Describe("an agent behind connections that break", func() {
	It("runs each attempt at most once, delivers complete answers, and reports not-run only for attempts that did not run", func() {
		e := newStub()
		n := start(e, nil)
		run := func(string) messenger.Run { return messenger.Run{Body: fmt.Append(nil, chunkCount)} }
		ran := 0
		for _, o := range sendAttempts(n, newRelay(n.addr, 1), 4, 8, run) {
			Expect(e.started(o.id)).To(BeNumerically("<=", 1))
			if o.err == nil {
				ran++
				Expect(o.text).To(Equal(fullAnswer()))
			} else if coder.Of(o.err).Run == coder.NotRun {
				Expect(e.started(o.id)).To(BeZero(), "%v", o.err)
			}
		}
		Expect(ran).To(BeNumerically(">", 0))
		n.expectIdle()
	})
})
