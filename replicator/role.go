package replicator

import "fmt"

//go:generate go tool -modfile=../tools/go.mod stringer -type=Role,Verb -output=role_string.go

// Role is the role of a replica in its current term.
type Role uint8

// Roles of a replica. One that is Outside does not belong to a group yet.
const (
	Outside Role = iota
	Follower
	Candidate
	Leader
)

// MarshalText returns the name of the role.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a role, and fails on an unknown one.
func (r *Role) UnmarshalText(text []byte) error {
	for known := Outside; known <= Leader; known++ {
		if known.String() == string(text) {
			*r = known
			return nil
		}
	}
	return fmt.Errorf("unknown role %q", text)
}

// Verb is the kind of a membership change.
type Verb uint8

// Kinds of membership changes. Add makes a node a learner, which becomes a voter once it
// holds the log. Remove removes a learner or a voter.
const (
	Add Verb = iota
	Remove
)
