package muxer_test

import (
	"context"
	"net"
	"testing"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// exchangeAllocs is what one exchange may allocate, both ends together.
const exchangeAllocs = 96

// exchanger returns a function that makes one exchange on a connection over
// loopback.
func exchanger(tb testing.TB) func() {
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
	if n := testing.AllocsPerRun(200, exchanger(t)); n > exchangeAllocs {
		t.Errorf("%v allocations an exchange, more than %d", n, exchangeAllocs)
	}
}

// BenchmarkCall measures one exchange.
func BenchmarkCall(b *testing.B) {
	exchange := exchanger(b)
	b.ReportAllocs()
	for b.Loop() {
		exchange()
	}
}
