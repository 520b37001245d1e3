package roster

import "encoding/json"

// ObjectName is the name under which the instance list is served.
const ObjectName = "instances/targets"

// State is what the platform says of a target.
type State string

// The states of a target.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Target is one process that runs requests. A replaced target has another ID.
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

// Parse reads the list.
func Parse(data []byte) (Roster, error) {
	var r Roster
	err := json.Unmarshal(data, &r)
	return r, err
}

// Encode formats the list.
func (r Roster) Encode() ([]byte, error) { return json.Marshal(r) }

// ForService returns the targets of a service.
func (r Roster) ForService(service string) []Target {
	var found []Target
	for _, t := range r.Targets {
		if t.Service == service {
			found = append(found, t)
		}
	}
	return found
}
