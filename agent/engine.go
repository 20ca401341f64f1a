package agent

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
	"bramleyshunt/setter"
)

// Engine is what the agent asks of its target; each function as the method of
// package driver with the same name. Nil functions are the Driver's.
type Engine struct {
	Run    func(ctx context.Context, r driver.Request, emit func([]byte) error) (driver.Result, error)
	Resume func(ctx context.Context, id string, after uint64, emit func([]byte) error) (driver.Result, error)
	Cancel func(ctx context.Context, id string) error
	Report func(ctx context.Context) (driver.Report, error)
	Order  func(ctx context.Context, o messenger.Order) (uint64, error)
	Call   func(ctx context.Context, r messenger.Run, emit func(messenger.Chunk) error) error
}

// or fills in the Driver's functions.
func (e Engine) or(d *driver.Driver, t *setter.Target) Engine {
	e.Run = orFunc(e.Run, d.Run)
	e.Resume = orFunc(e.Resume, d.Resume)
	e.Cancel = orFunc(e.Cancel, d.Cancel)
	e.Order = orFunc(e.Order, d.Order)
	e.Call = orFunc(e.Call, d.Call)
	if e.Report != nil {
		return e
	}
	e.Report = d.Report
	if t.Kind == kindPlain {
		e.Report = tolerant(d.Report)
	}
	return e
}

// tolerant reports a plain service that has no report of its own as alive,
// without figures.
func tolerant(report func(context.Context) (driver.Report, error)) func(context.Context) (driver.Report, error) {
	return func(ctx context.Context) (driver.Report, error) {
		rep, err := report(ctx)
		if err != nil && coder.Of(err).Code == coder.EngineFailed {
			return driver.Report{}, nil
		}
		return rep, err
	}
}

func orFunc[F func(context.Context, driver.Request, func([]byte) error) (driver.Result, error) |
	func(context.Context, string, uint64, func([]byte) error) (driver.Result, error) |
	func(context.Context, string) error |
	func(context.Context, messenger.Order) (uint64, error) |
	func(context.Context, messenger.Run, func(messenger.Chunk) error) error](f, d F) F {
	if f != nil {
		return f
	}
	return d
}
