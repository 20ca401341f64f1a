// Package bufferer reads the bodies of messages into memory within a budget that all
// connections of a process share. A body counts from its announcement, or from its first
// bytes if its length is not announced, until its message has been handled.
package bufferer

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/budgeter"
	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
)

const (
	// DefaultMax is the budget in bytes if Bufferer.Max is zero.
	DefaultMax = 64 << 20
	// initialBytes is the first size of the buffer of a body whose length is not announced.
	initialBytes = 4 << 10
	// growth is the factor by which such a buffer grows. Smaller factors copy more often.
	growth = 2
	// retryAfter is how long callers should wait after a refusal. Within a second, bodies that
	// stay incomplete are given up and most requests that wait are answered.
	retryAfter = time.Second
	// logInterval is the minimum interval between two log lines about bodies without room. Each
	// request that is refused has a line of its own.
	logInterval = time.Second
)

// Bufferer reads bodies. The zero value works; it must not be copied after its first use.
type Bufferer struct {
	Name    string // of the budget, in logs and metrics; "bodies" if empty
	Max     int    // bytes of all bodies together; DefaultMax if zero
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time

	once     sync.Once
	mu       sync.Mutex
	released *sync.Cond // a reservation was released or given up
	budget   budgeter.Budgeter
	bytes    metrics.Gauge
	evicted  metrics.Counter // bodies given up
	refused  metrics.Counter
	logged   time.Time         // when either was last logged
	cancels  map[uint64]func() // of bodies that are being read
}

// Body describes a body that is about to be read.
type Body struct {
	Length int64  // announced; negative if unknown
	Limit  int64  // largest length in bytes
	Copies int    // bytes to reserve for each byte of the body; 1 if zero
	Cancel func() // makes a pending Read of the body fail; called at most once, with locks held
}

// Hold is the memory of a body. Its zero value stands for no memory.
type Hold struct {
	Data    []byte
	Release func()          // may be called more than once; Data must not be used afterwards
	Shrink  func(bytes int) // reduces the reservation
}

func (b *Bufferer) init() {
	b.once.Do(func() {
		defaulter.Fill(&b.Log, &b.Metrics, &b.Now)
		if b.Max <= 0 {
			b.Max = DefaultMax
		}
		if b.Name == "" {
			b.Name = "bodies"
		}
		b.budget.Max = b.Max
		b.released = sync.NewCond(&b.mu)
		b.bytes = metrics.GetOrRegisterGauge(b.Name+".bytes", b.Metrics)
		b.evicted = metrics.GetOrRegisterCounter(b.Name+".evicted", b.Metrics)
		b.refused = metrics.GetOrRegisterCounter(b.Name+".refused", b.Metrics)
		b.cancels = map[uint64]func(){}
	})
}

// Read reads a body to its end. Errors carry code TooLarge if the body exceeds its limit,
// BodiesFull if there is no memory for it, or are those of r, io.ErrUnexpectedEOF if r ends
// before an announced length. The caller releases the memory of the body if Read returns no
// error.
func (b *Bufferer) Read(r io.Reader, body Body) (Hold, error) {
	b.init()
	if body.Length > body.Limit {
		return Hold{}, tooLargeError(body.Limit)
	}
	id := b.open(body.Cancel)
	data, err := b.read(id, r, &body)
	if !b.endReading(id) && err == nil || errors.Is(err, errGivenUp) {
		err = b.refusal("given up for others")
	}
	if err != nil {
		b.close(id)
		return Hold{}, err
	}
	release := sync.OnceFunc(func() { b.close(id) })
	return Hold{Data: data, Release: release, Shrink: func(n int) { b.shrink(id, n) }}, nil
}

func tooLargeError(limit int64) error {
	return coder.Errorf(coder.TooLarge, "more than %d bytes", limit)
}

var errGivenUp = errors.New("given up")

// read reads into a buffer of the announced length, or into one that grows.
func (b *Bufferer) read(id uint64, r io.Reader, body *Body) ([]byte, error) {
	copies := max(1, body.Copies)
	size := int(min(body.Limit, initialBytes))
	if body.Length >= 0 {
		size = int(body.Length)
	}
	if err := b.resize(id, copies*size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		if len(data) < cap(data) {
			n, err := r.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			switch {
			case err == io.EOF && len(data) < int(body.Length):
				return nil, io.ErrUnexpectedEOF
			case err == io.EOF:
				return data, nil
			case err != nil:
				return nil, b.readError(id, err)
			}
			continue
		}
		ended, next, err := readByte(r)
		switch {
		case ended:
			return data, nil
		case err != nil:
			return nil, b.readError(id, err)
		case int64(len(data)) >= body.Limit:
			return nil, tooLargeError(body.Limit)
		}
		size := int(min(body.Limit, max(initialBytes, growth*int64(cap(data)))))
		if err := b.resize(id, copies*size+len(data)); err != nil { // both buffers until it is copied
			return nil, err
		}
		data = append(append(make([]byte, 0, size), data...), next)
		b.shrink(id, copies*size)
	}
}

// readByte reads one byte, or the end of r.
func readByte(r io.Reader) (ended bool, next byte, err error) {
	var one [1]byte
	if _, err := io.ReadFull(r, one[:]); err != nil {
		return err == io.EOF, 0, err
	}
	return false, one[0], nil
}

// readError returns errGivenUp if err was caused by the end of the reservation.
func (b *Bufferer) readError(id uint64, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget.GivenUp(id) {
		return errGivenUp
	}
	return err
}

func (b *Bufferer) open(cancel func()) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.budget.Open(b.Now())
	b.cancels[id] = cancel
	return id
}

// resize reserves bytes for a body. It waits for the memory of bodies that are given up.
func (b *Bufferer) resize(id uint64, bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		verdict, victims := b.budget.Resize(b.Now(), id, bytes)
		for _, v := range victims {
			b.giveUp(v)
		}
		switch {
		case verdict == budgeter.Granted:
			b.gauge()
			return nil
		case b.budget.GivenUp(id):
			return errGivenUp
		case verdict == budgeter.Refused:
			b.refused.Inc(1)
			b.report()
			return b.refusal("no room")
		}
		b.released.Wait()
	}
}

// giveUp makes the reader of a body release it.
func (b *Bufferer) giveUp(id uint64) {
	b.evicted.Inc(1)
	b.report()
	if cancel := b.cancels[id]; cancel != nil {
		delete(b.cancels, id)
		cancel()
	}
	b.released.Broadcast() // it may be waiting itself
}

// report logs that there is no room, at most once in logInterval. b.mu must be locked.
func (b *Bufferer) report() {
	now := b.Now()
	if now.Sub(b.logged) < logInterval {
		return
	}
	b.logged = now
	b.Log.WithFields(logrus.Fields{
		"budget": b.Name, "max": b.Max, "used": b.budget.Used(), "evicted": b.evicted.Count(), "refused": b.refused.Count(),
	}).Warn("no room for further bodies")
}

func (b *Bufferer) refusal(reason string) error {
	e := coder.Errorf(coder.BodiesFull, "%s: %d bytes for %s", reason, b.Max, b.Name)
	e.Retry = retryAfter
	return e
}

// endReading returns false if the body was given up.
func (b *Bufferer) endReading(id uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cancels, id)
	return b.budget.Complete(id)
}

func (b *Bufferer) shrink(id uint64, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if verdict, _ := b.budget.Resize(b.Now(), id, bytes); verdict == budgeter.Granted {
		b.gauge()
		b.released.Broadcast()
	}
}

func (b *Bufferer) close(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cancels, id)
	b.budget.Close(id)
	b.gauge()
	b.released.Broadcast()
}

func (b *Bufferer) gauge() { b.bytes.Update(int64(b.budget.Used())) }
