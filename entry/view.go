package entry

import (
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

// View is this process's confirmed view of the fleet. It is never changed.
type View struct {
	Version   uint64
	Config    *configurer.Configurer
	Targets   []messenger.Target
	ByService map[string][]messenger.Target
	Blocked   map[uint64]bool
}
