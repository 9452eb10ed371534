package engine

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fencing grows with each change of the router that gives orders.
	Fencing uint64 `json:"fencing"`
}

// State is the answer of GET /v1/state and of an order that was carried out.
type State struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fencing is the highest number seen.
	Fencing uint64 `json:"fencing"`
	// Loads counts the loads of versions and adapters.
	Loads uint64 `json:"loads"`
}

// errStaleFencing is returned for an order with an old fencing number.
var errStaleFencing = errors.New("stale fencing number")

// orders carries out orders one at a time.
type orders struct {
	checksFencing bool
	loadTime      time.Duration

	// executing is held while an order is carried out.
	executing sync.Mutex

	mu    sync.Mutex
	state State
}

func newOrders(checksFencing bool, loadTime time.Duration) *orders {
	return &orders{checksFencing: checksFencing, loadTime: loadTime}
}

func (o *orders) read() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state
	state.Adapters = slices.Clone(o.state.Adapters)
	return state
}

// execute carries out an order and returns the state after it.
func (o *orders) execute(order Order) (State, error) {
	if err := order.check(); err != nil {
		return State{}, err
	}
	o.executing.Lock()
	defer o.executing.Unlock()
	if err := o.fence(order.Fencing); err != nil {
		return State{}, err
	}
	if order.Kind != SetRole {
		time.Sleep(o.loadTime)
	}
	o.apply(order)
	return o.read(), nil
}

func (o *orders) fence(number uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && number < o.state.Fencing {
		return fmt.Errorf("%w: %d is below %d", errStaleFencing, number, o.state.Fencing)
	}
	o.state.Fencing = max(o.state.Fencing, number)
	return nil
}

func (o *orders) apply(order Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch order.Kind {
	case LoadModel:
		o.state.Version = order.Version
		o.state.Adapters = nil
		o.state.Loads++
	case LoadAdapter:
		o.state.Loads++
		if !slices.Contains(o.state.Adapters, order.Adapter) {
			o.state.Adapters = append(o.state.Adapters, order.Adapter)
		}
	case SetRole:
		o.state.Role = order.Role
	}
}

// check returns an error for an order that is incomplete.
func (o Order) check() error {
	switch {
	case o.Kind == LoadModel && o.Version != "":
	case o.Kind == LoadAdapter && o.Adapter != "":
	case o.Kind == SetRole && o.Role != "":
	default:
		return fmt.Errorf("order %q is unknown or incomplete", o.Kind)
	}
	return nil
}
