package sharer

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
)

// Guards against telling of a request to an entry outside its regions and those of this entry:
// a region is unknown where an entry of an older release announces itself.
func TestRelayOutsideTheRegionsIsNotAsked(t *testing.T) {
	for name, c := range map[string]struct {
		own, relay string
		regions    []string
		asked      bool
	}{
		"unrestricted":                      {own: "a", relay: "b", asked: true},
		"unrestricted, of unknown region":   {asked: true},
		"in the regions":                    {own: "c", relay: "b", regions: []string{"a", "b"}, asked: true},
		"in this entry's own region":        {own: "c", relay: "c", regions: []string{"a"}, asked: true},
		"outside":                           {own: "a", relay: "b", regions: []string{"a"}},
		"of unknown region":                 {own: "a", regions: []string{"a"}},
		"of unknown region, as is this one": {regions: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pool, closePool := pooler.New(muxer.Config{Node: "self"})
			defer closePool()
			log, _ := logtest.NewNullLogger()
			s := &Sharer{cfg: Config{Region: c.own, Pool: pool, Log: logrus.NewEntry(log), Metrics: metrics.NewRegistry()}, aggregator: aggregator.Aggregator{Node: "self"}}
			peers := []messenger.Target{{ID: "self", Aggregates: true}}
			for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} { // one of them ranks before this entry
				peers = append(peers, messenger.Target{ID: id, Aggregates: true, Region: c.relay, Address: "127.0.0.1:0"})
			}
			s.aggregator.Round(time.Now(), peers, messenger.Share{})
			_, ok := s.aggregator.Relay()
			g.Expect(ok).To(BeTrue())
			out, err := s.Ask(context.Background(), &messenger.Place{Regions: c.regions})
			g.Expect(out).To(BeNil())
			g.Expect(err != nil).To(Equal(c.asked), "an entry that is asked can't be reached")
			outside := metrics.GetOrRegisterCounter("share.place.outside", s.cfg.Metrics).Count()
			g.Expect(outside > 0).To(Equal(!c.asked))
		})
	}
}

// Guards against a relay whose region has become known and that is still not asked, or the
// other way round.
func TestRegionOfRelayFollowsItsAnnouncement(t *testing.T) {
	g := NewWithT(t)
	a := aggregator.Aggregator{Node: "self"}
	peers := []messenger.Target{{ID: "self", Aggregates: true}, {ID: "e1", Aggregates: true}, {ID: "e2", Aggregates: true}, {ID: "e3", Aggregates: true}}
	a.Round(time.Now(), peers, messenger.Share{})
	for i := range peers {
		peers[i].Region = "a"
	}
	a.Round(time.Now(), peers, messenger.Share{})
	relay, ok := a.Relay()
	g.Expect(ok).To(BeTrue())
	g.Expect(relay.Region).To(Equal("a"))
}

// Guards against an entry whose region others don't know, so that they ask it for no restricted
// request.
func TestEntryAnnouncesItsRegion(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	announced := make(chan messenger.Announce, 1)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = muxer.Serve(ctx, l, muxer.Config{Node: "keeper"}, func(ctx context.Context, st *muxer.Stream) {
			var a messenger.Announce
			if msg, err := st.Receive(ctx); err == nil && msg.Decode(&a) == nil {
				announced <- a
				_ = st.Send(messenger.KindAnnounced, &messenger.Announced{})
			}
		})
	}()
	pool, closePool := pooler.New(muxer.Config{Node: "self"})
	_, stop := New(Config{
		Node: "self", Zone: "z", Region: "eu", Pool: pool, Peers: func() []messenger.Target { return nil },
		Report: func() messenger.Share { return messenger.Share{} }, Record: func(messenger.Share) {},
		Keepers: func() []string { return []string{l.Addr().String()} },
	})
	a := <-announced
	stop()
	closePool()
	cancel()
	<-served
	g.Expect(a.Target).To(And(HaveField("Zone", "z"), HaveField("Region", "eu")))
}
