package orders

import "time"

// Kind is what an order asks an engine to do.
type Kind string

// The kinds of orders, as engines name them.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	SetRole     Kind = "set_role"
)

// loads reports whether the order reads from the weight store.
func (k Kind) loads() bool { return k != SetRole }

// Outcome is how an order or a query ended.
type Outcome string

// The outcomes.
const (
	// Done means that the engine answered.
	Done Outcome = "done"
	// Refused means that the engine refused an old fencing number.
	Refused Outcome = "refused"
	// Failed means that the engine answered with an error.
	Failed Outcome = "failed"
	// NotSent means that nothing reached the engine.
	NotSent Outcome = "not_sent"
	// Unknown means that no answer came.
	Unknown Outcome = "unknown"
)

// State is the state that an engine reports.
type State struct {
	Version  string
	Adapters []string
	Role     string
	// Fencing is the highest number that the engine has seen.
	Fencing Number
}

// Router is a reachable router.
type Router struct {
	Name   string
	Region string
}

// Event is an input of Sender.Step.
type Event interface{ event() }

// Tick carries what the router knows at the time of the step.
type Tick struct {
	// Plan is that of the configuration in force, nil before the first.
	Plan *Plan
	// Routers holds the routers that may take roles, the router itself too
	// unless it is stopping.
	Routers []Router
	// Leaving holds the names of engines that are leaving.
	Leaving map[string]bool
}

// QueryEnded is the result of a QueryState.
type QueryEnded struct {
	Target  string
	Attempt uint64
	Outcome Outcome
	// State is set when Outcome is Done.
	State State
}

// OrderEnded is the result of a SendOrder.
type OrderEnded struct {
	Target  string
	Attempt uint64
	Outcome Outcome
	// State is set when Outcome is Done.
	State State
}

func (Tick) event()       {}
func (QueryEnded) event() {}
func (OrderEnded) event() {}

// Action is an output of Sender.Step.
type Action interface{ action() }

// SendOrder asks for an order to be sent once. Its result is due within
// Timeout.
type SendOrder struct {
	Target  string
	Address string
	Attempt uint64
	Order   Order
	Timeout time.Duration
}

// QueryState asks for an engine's state. Its result is due within Timeout.
type QueryState struct {
	Target  string
	Address string
	Attempt uint64
	Timeout time.Duration
}

// Order is an order to an engine. Only the field that Kind needs is set.
type Order struct {
	Kind    Kind
	Version string
	Adapter string
	Role    string
	Fencing Number
}

func (SendOrder) action()  {}
func (QueryState) action() {}
