package muxer_test

import (
	"context"
	"net"
	"testing"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// maxExchangeAllocs bounds the allocations of one exchange, both ends together.
const maxExchangeAllocs = 96

// newExchange returns a function that makes one exchange on a connection over
// loopback.
func newExchange(tb testing.TB) func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	cfg := muxer.Config{Node: "a", Key: []byte("fleet")}
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, cfg, echo)
	}()
	m, closer, err := muxer.Dial(ctx, l.Addr().String(), cfg)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		closer()
		cancel()
		<-done
	})
	return func() {
		var out messenger.Cancelled
		if err := m.Call(ctx, messenger.KindCancel, &messenger.Cancel{Attempt: "x"}, &out); err != nil {
			tb.Fatal(err)
		}
	}
}

// TestExchangeAllocations bounds the allocations of one exchange.
func TestExchangeAllocations(t *testing.T) {
	if n := testing.AllocsPerRun(200, newExchange(t)); n > maxExchangeAllocs {
		t.Errorf("%v allocations per exchange, want at most %d", n, maxExchangeAllocs)
	}
}

// BenchmarkCall measures a Call over loopback.
func BenchmarkCall(b *testing.B) {
	exchange := newExchange(b)
	b.ReportAllocs()
	for b.Loop() {
		exchange()
	}
}
