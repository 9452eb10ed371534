package measure

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/questionnaire"
)

// speedPercentUnit is the SpeedPercent of a target of speed 1.
const speedPercentUnit = 100

// Deployment is one engine pool of a configuration, with the zones and workspaces that use it.
type Deployment struct {
	Name string
	// InitialCost is the estimated cost, in cost units, of a request of a workspace
	// without history.
	InitialCost int64
	Zones       []string
	Targets     []pool.Target
	// Workspaces is ordered by share, largest first, if LoadDeployment returned it.
	Workspaces []pool.Workspace
	// names holds the names of the workspaces in the same order.
	names []string
	// largeWorkspaces is the number of workspaces, counted from the first, that are
	// always backlogged.
	largeWorkspaces int
}

// LoadDeployment generates the configuration that the questionnaire in the file describes
// and returns its first engine pool. It fails if the file cannot be read, the questionnaire
// is not valid or the configuration has no engine pool.
func LoadDeployment(path string) (*Deployment, error) {
	answers, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read questionnaire: %w", err)
	}
	c, err := questionnaire.Generate(answers)
	if err != nil {
		return nil, fmt.Errorf("questionnaire %s: %w", path, err)
	}
	i := slices.IndexFunc(c.Pools, func(p *v1.Pool) bool { return p.Kind == v1.PoolKind_ENGINE })
	if i < 0 {
		return nil, fmt.Errorf("questionnaire %s has no engines", path)
	}
	return newDeployment(c, c.Pools[i]), nil
}

// newDeployment returns the deployment of one pool of the configuration.
func newDeployment(c *v1.Configuration, p *v1.Pool) *Deployment {
	d := &Deployment{Name: c.Deployment, InitialCost: int64(p.InitialCost), largeWorkspaces: largeWorkspaceCount}
	dataCentres := map[string]string{}
	for _, z := range c.Zones {
		d.Zones = append(d.Zones, z.Name)
		dataCentres[z.Name] = z.DataCentre
	}
	for _, t := range c.Targets {
		if t.Pool != p.Name {
			continue
		}
		d.Targets = append(d.Targets, pool.Target{
			ID:         config.IDOf(t.Name),
			Zone:       t.Zone,
			DataCentre: dataCentres[t.Zone],
			Slots:      int(t.Slots),
			Speed:      float64(t.SpeedPercent) / speedPercentUnit,
		})
	}
	workspaces := slices.Clone(c.Workspaces)
	slices.SortStableFunc(workspaces, func(a, b *v1.Workspace) int { return cmp.Compare(b.Share, a.Share) })
	for _, w := range workspaces {
		d.names = append(d.names, w.Name)
		d.Workspaces = append(d.Workspaces, pool.Workspace{
			ID:             config.IDOf(w.Name),
			Share:          w.Share,
			MaxQueued:      int(w.MaxQueuedRequests),
			MaxQueuedBytes: int64(w.MaxQueuedBytes),
			DataCentre:     w.DataCentre,
		})
	}
	return d
}

// slots returns the number of slots of all targets.
func (d *Deployment) slots() int {
	sum := 0
	for _, t := range d.Targets {
		sum += t.Slots
	}
	return sum
}

// capacity returns the cost units that all targets serve in a second.
func (d *Deployment) capacity() float64 {
	sum := 0.0
	for _, t := range d.Targets {
		sum += float64(t.Slots) * t.Speed * slotRate
	}
	return sum
}

// shares returns the sum of the workspaces' shares.
func (d *Deployment) shares() float64 {
	sum := 0.0
	for _, w := range d.Workspaces {
		sum += float64(w.Share)
	}
	return sum
}
