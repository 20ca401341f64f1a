// Package setter declares the settings of one process: its identity, addresses and
// roles. Settings are fixed for the lifetime of the process; what operators change at
// run time is in package configurer.
package setter

import (
	"cmp"
	"slices"
)

// Roles of a process. A process can have several.
const (
	RoleEntry  = "entry"
	RoleAgent  = "agent"
	RoleKeeper = "keeper"
)

// Setter is the settings file of one process.
type Setter struct {
	Node        string   `json:"node"`    // node name, unique in the fleet
	Zone        string   `json:"zone"`    // availability zone
	Region      string   `json:"region"`  // region of the zone
	Roles       []string `json:"roles"`   // entry, agent, keeper
	Key         string   `json:"key"`     // file that holds the fleet key
	Listen      string   `json:"listen"`  // host:port for other processes of the system
	HTTP        string   `json:"http"`    // host:port for callers; entry only
	Admin       string   `json:"admin"`   // host:port for operators and metrics
	Folder      string   `json:"folder"`  // data folder; keeper only
	Keepers     []Keeper `json:"keepers"` // addresses to contact keepers at, and the voters of a new group
	Target      Target   `json:"target"`  // agent only
	Grow        bool     `json:"grow"`    // keepers not listed in Keepers may join the group
	Join        bool     `json:"join"`    // keeper only: join an existing group and never found a new one
	Direct      bool     `json:"direct"`  // targets have no agents; each announces itself to one keeper, which informs the others
	GracePeriod float64  `json:"grace"`   // seconds between reporting not ready and closing the listener
	Memory      int      `json:"memory"`  // MiB that the process may use; 256 if zero
	Log         string   `json:"log"`     // panic, fatal, error, warn, info (default), debug

	Zones map[string]string `json:"zones,omitempty"` // region by availability zone
}

// Keeper names one keeper and its address.
type Keeper struct {
	Node    string `json:"node"`
	Address string `json:"address"` // host:port
}

// Target is the backend that an agent manages.
type Target struct {
	ID      string `json:"id"`      // target id; the node name if empty
	Service string `json:"service"` // name of the service in the configuration
	Kind    string `json:"kind"`    // "engine" or "plain"
	Model   string `json:"model"`
	URL     string `json:"url"`    // base URL of the engine or plain service
	Memory  int    `json:"memory"` // tokens; requested from the engine if zero
	Slots   int    `json:"slots"`  // maximum concurrent requests; 64 if zero
	Fences  bool   `json:"fences"` // the engine itself rejects orders with an outdated fencing token
}

// OwnRegion returns the region of the process, empty if it is unknown.
func (s *Setter) OwnRegion() string { return cmp.Or(s.Region, s.Zones[s.Zone]) }

// Has reports whether the process has a role.
func (s *Setter) Has(role string) bool { return slices.Contains(s.Roles, role) }
