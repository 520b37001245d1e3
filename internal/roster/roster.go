package roster

import "encoding/json"

// ObjectName is the name of the object that holds the instance list.
const ObjectName = "instances/targets"

// State is the state of a target as the platform reports it.
type State string

// States of a target.
const (
	Live    State = "live"
	Leaving State = "leaving" // shutting down; takes no new requests
)

// Target is one process that runs requests. Its replacement gets a new ID.
type Target struct {
	ID      string   `json:"id"`
	Service string   `json:"service"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	State   State    `json:"state"`
	Models  []string `json:"models,omitempty"`
}

// Roster is one version of the instance list.
type Roster struct {
	Targets []Target `json:"targets"`
}

// Parse decodes the instance list from JSON.
func Parse(data []byte) (Roster, error) {
	var r Roster
	err := json.Unmarshal(data, &r)
	return r, err
}

// Encode encodes the instance list as JSON.
func (r Roster) Encode() ([]byte, error) { return json.Marshal(r) }

// ForService returns the targets of one service, in any state.
func (r Roster) ForService(service string) []Target {
	var found []Target
	for _, t := range r.Targets {
		if t.Service == service {
			found = append(found, t)
		}
	}
	return found
}
