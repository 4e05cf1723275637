package instance

// State is the lifecycle state of an instance, as the instance announces it.
type State int32

// The states in the order in which an instance goes through them.
const (
	Starting State = iota
	Ready
	Draining
	Left
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Starting", "Ready", "Draining", "Left"}[min(max(s, Starting), Left)]
}

// Health is the result of the other daemons' failure detection for an instance.
type Health int32

// The values of Health. At the same incarnation the greater one takes precedence.
const (
	Alive Health = iota
	Suspect
	Dead
)

// Record is the membership record of one instance. Only the instance itself raises
// its incarnation.
type Record struct {
	Name        string
	Incarnation uint64
	Site        string
	PeerAddress string
	LinkAddress string
	Service     string
	State       State
	Health      Health
	Slots       uint32
}

// Live reports whether the instance is neither dead nor has left, so that a change
// has to wait for it.
func (r Record) Live() bool { return r.Health != Dead && r.State != Left }

// Serves reports whether calls of the service may be sent to the instance.
func (r Record) Serves(service string) bool {
	return r.Service == service && r.State == Ready && r.Health != Dead
}

// Signature holds the fields of a record that other daemons act on.
type Signature struct {
	Site        string
	PeerAddress string
	LinkAddress string
	Service     string
	State       State
	Dead        bool
	Slots       uint32
}

// Signature returns the fields of the record that other daemons act on. A suspicion
// or a new incarnation alone does not change them.
func (r Record) Signature() Signature {
	return Signature{r.Site, r.PeerAddress, r.LinkAddress, r.Service, r.State, r.Health == Dead, r.Slots}
}

// supersedes reports whether r replaces o, another record of the same instance.
func (r Record) supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Health > o.Health
}
