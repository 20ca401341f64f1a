package replicator

import "fmt"

//go:generate go tool -modfile=../tools/go.mod stringer -type=Role,Verb -output=role_string.go

// Role is what a replica does in its term.
type Role uint8

// Roles of a replica. Outside has no group yet.
const (
	Outside Role = iota
	Follower
	Candidate
	Leader
)

// MarshalText returns the name of the role.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the name of a role.
func (r *Role) UnmarshalText(text []byte) error {
	for known := Outside; known <= Leader; known++ {
		if known.String() == string(text) {
			*r = known
			return nil
		}
	}
	return fmt.Errorf("unknown role %q", text)
}

// Verb says how an operator changes the members.
type Verb uint8

// Changes of the members. A node that is added becomes a learner, and a voter
// once it holds the log.
const (
	Add Verb = iota
	Remove
)
