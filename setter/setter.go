// Package setter declares the settings of one process: who it is, where it
// listens, which roles it runs. Settings hold for the life of the process;
// everything that operators change while it runs is in package configurer.
package setter

import "slices"

// Roles a process may run, in any mix.
const (
	RoleEntry  = "entry"
	RoleAgent  = "agent"
	RoleKeeper = "keeper"
)

// Setter is the settings file of one process.
type Setter struct {
	Node    string   `json:"node"`    // identity, unique in the fleet
	Zone    string   `json:"zone"`    // availability zone
	Region  string   `json:"region"`  // region of the zone
	Roles   []string `json:"roles"`   // entry, agent, keeper
	Key     string   `json:"key"`     // file that holds the fleet key
	Listen  string   `json:"listen"`  // host:port for the system's own processes
	HTTP    string   `json:"http"`    // host:port for callers; entry only
	Admin   string   `json:"admin"`   // host:port for operators and metrics
	Folder  string   `json:"folder"`  // data folder; keeper only
	Keepers []Keeper `json:"keepers"` // where keepers are found; also the founding voters
	Target  Target   `json:"target"`  // agent only
	Grow    bool     `json:"grow"`    // keepers beyond those named are taken into the group
	Join    bool     `json:"join"`    // keeper only: the deployment is not new, so found no group
	Direct  bool     `json:"direct"`  // targets have no agents; each announces itself to one keeper
	Grace   float64  `json:"grace"`   // seconds between readiness off and listener closed
	Log     string   `json:"log"`     // panic, fatal, error, warn, info (default), debug
}

// Keeper names one keeper and its address.
type Keeper struct {
	Node    string `json:"node"`
	Address string `json:"address"` // host:port
}

// Target is what an agent stands for.
type Target struct {
	ID      string `json:"id"`      // the node's name if empty
	Service string `json:"service"` // as in the configuration
	Kind    string `json:"kind"`    // "engine" or "plain"
	Model   string `json:"model"`
	URL     string `json:"url"`    // of the engine or plain service
	Memory  int    `json:"memory"` // tokens; asked of the engine if zero
	Slots   int    `json:"slots"`  // requests at once; 64 if zero
	Fences  bool   `json:"fences"` // the engine refuses orders with an old fencing number
}

// Has reports whether the process runs a role.
func (s *Setter) Has(role string) bool { return slices.Contains(s.Roles, role) }
