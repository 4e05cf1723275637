package instance

// State is the life of an instance as it announces it.
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

// Health is what others believe of an instance.
type Health int32

// The healths; at one incarnation the greater one wins.
const (
	Alive Health = iota
	Suspect
	Dead
)

// Record is what is known of one instance. Only the instance itself raises
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

// Live tells whether a change has to wait for the instance.
func (r Record) Live() bool { return r.Health != Dead && r.State != Left }

// Serves tells whether the instance may get calls of the service.
func (r Record) Serves(service string) bool {
	return r.Service == service && r.State == Ready && r.Health != Dead
}

// Signature is the part of a record that others act on.
type Signature struct {
	Site        string
	PeerAddress string
	LinkAddress string
	Service     string
	State       State
	Dead        bool
	Slots       uint32
}

// Signature returns what others act on; a suspicion or a new incarnation alone
// does not change it.
func (r Record) Signature() Signature {
	return Signature{r.Site, r.PeerAddress, r.LinkAddress, r.Service, r.State, r.Health == Dead, r.Slots}
}

// newer tells whether r replaces o.
func (r Record) newer(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Health > o.Health
}
