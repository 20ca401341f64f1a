package agent

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
	"bramleyshunt/setter"
)

// Engine holds the calls that the agent makes to its target. Each function
// behaves as the method of driver.Driver with the same name, which replaces it
// if it is nil.
type Engine struct {
	Run    func(ctx context.Context, r driver.Request, emit func([]byte) error) (driver.Result, error)
	Resume func(ctx context.Context, id string, after uint64, emit func([]byte) error) (driver.Result, error)
	Cancel func(ctx context.Context, id string) error
	Report func(ctx context.Context) (driver.Report, error)
	Order  func(ctx context.Context, o messenger.Order) (uint64, error)
	Call   func(ctx context.Context, r messenger.Run, emit func(messenger.Chunk) error) error
}

// withDefaults replaces nil functions by the methods of d.
func (e Engine) withDefaults(d *driver.Driver, t *setter.Target) Engine {
	e.Run = orDefault(e.Run, d.Run)
	e.Resume = orDefault(e.Resume, d.Resume)
	e.Cancel = orDefault(e.Cancel, d.Cancel)
	e.Order = orDefault(e.Order, d.Order)
	e.Call = orDefault(e.Call, d.Call)
	if e.Report != nil {
		return e
	}
	e.Report = d.Report
	if t.Kind == kindPlain {
		e.Report = withOptionalReport(d.Report)
	}
	return e
}

// withOptionalReport returns an empty report for a plain service that is reachable
// but does not offer a report.
func withOptionalReport(report func(context.Context) (driver.Report, error)) func(context.Context) (driver.Report, error) {
	return func(ctx context.Context) (driver.Report, error) {
		rep, err := report(ctx)
		if err != nil && coder.Of(err).Code == coder.EngineFailed {
			return driver.Report{}, nil
		}
		return rep, err
	}
}

func orDefault[F func(context.Context, driver.Request, func([]byte) error) (driver.Result, error) |
	func(context.Context, string, uint64, func([]byte) error) (driver.Result, error) |
	func(context.Context, string) error |
	func(context.Context, messenger.Order) (uint64, error) |
	func(context.Context, messenger.Run, func(messenger.Chunk) error) error](f, d F) F {
	if f != nil {
		return f
	}
	return d
}
