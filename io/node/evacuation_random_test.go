package node

import (
	"io"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/core/mirror"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
	follow "magnolialedge/io/mirror"
	"magnolialedge/io/seed"
	"magnolialedge/io/serve"
)

var testRegions = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}

// evacuatedPrefix is the prefix of the keys that evacuationDecoder decodes.
const evacuatedPrefix = "evacuated/"

// evacuationDecoder decodes items that evacuate a zone. Their values have no order.
type evacuationDecoder struct{}

func (evacuationDecoder) Prefixes() []string { return []string{evacuatedPrefix} }

func (evacuationDecoder) Decode(item magnolialedge.Item) (magnolialedge.DiscoveryUpdate, error) {
	zone := strings.TrimPrefix(item.Key, evacuatedPrefix)
	return magnolialedge.DiscoveryUpdate{Evacuation: &magnolialedge.Evacuation{Zone: zone, Active: !item.Deleted}}, nil
}

func (evacuationDecoder) Generation(magnolialedge.Item) magnolialedge.Generation {
	return magnolialedge.Generation{}
}

// evacuatedEntry is an entry without a network: its mirror and what it applies.
type evacuatedEntry struct {
	mirror *mirror.Mirror
	node   *Node
	fleet  *pick.Fleet
}

func newEvacuatedEntry() *evacuatedEntry {
	fleet := pick.NewFleet(pick.Config{Zone: "east-a", Regions: testRegions})
	log := event.NewLogger(io.Discard, "e1")
	n := &Node{
		cfg: Config{Decoder: evacuationDecoder{}}, settings: Settings{Regions: testRegions}, log: log, members: newMembers(magnolialedge.Instance{Name: "e1"}), evacuations: newEvacuations(),
		forwarder: serve.NewForwarder(serve.Config{Fleet: fleet, Pool: link.NewPool(link.PoolConfig{}), Metrics: serve.NewMetrics(prometheus.NewRegistry()), Log: log}),
	}
	return &evacuatedEntry{mirror: mirror.New(mirror.Config{Generation: n.generation}), node: n, fleet: fleet}
}

// storeModel is the store: its evacuations and their revisions.
type storeModel struct {
	items    map[string]int64
	position magnolialedge.Position
}

func (s storeModel) clone() storeModel {
	s.items = maps.Clone(s.items)
	return s
}

func (s storeModel) list() []magnolialedge.Item {
	var out []magnolialedge.Item
	for zone, revision := range s.items {
		out = append(out, magnolialedge.Item{Key: evacuatedPrefix + zone, Value: []byte("{}"), Revision: revision})
	}
	return out
}

// deliver lists the store at an entry that reaches it.
func (e *evacuatedEntry) deliver(now time.Time, s storeModel) {
	e.mirror.RecordSuccess(now)
	e.node.applyChanges(e.mirror.ApplySnapshot(now, mirror.FromStore, s.list(), s.position), follow.Delivery{})
}

// Guards against an entry that keeps, forgets or delays an evacuation. Evacuations begin and
// end, the entry starts again or loses its source, and the store returns from a copy, in
// random order. What the store says must be in force 3 s after the entry has read it, out of
// the 5 s that a change may take.
func TestEvacuationsMatchTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		e := newEvacuatedEntry()
		store := storeModel{items: map[string]int64{}, position: magnolialedge.Position{Era: 1, Revision: 1}}
		copied := store.clone()
		zone := func() string {
			return rapid.SampledFrom([]string{"east-a", "east-b", "west-a", "unknown", ""}).Draw(t, "zone")
		}
		pass := func(d time.Duration) {
			now = now.Add(d)
			e.node.applyChanges(e.mirror.ExpireHeld(now), follow.Delivery{})
		}
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(*rapid.T) {
				store.position.Revision++
				store.items[zone()] = store.position.Revision
			},
			"end": func(*rapid.T) {
				store.position.Revision++
				delete(store.items, zone())
			},
			"restart":    func(*rapid.T) { e = newEvacuatedEntry() },
			"loseSource": func(*rapid.T) { e.mirror.RecordFailure(now) },
			"copy":       func(*rapid.T) { copied = store.clone() },
			"restore": func(*rapid.T) {
				era := store.position.Era + 1
				store = copied.clone()
				store.position.Era = era
			},
			"deliver": func(*rapid.T) { e.deliver(now, store) },
			"pass": func(t *rapid.T) {
				pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"settle": func(t *rapid.T) {
				e.deliver(now, store)
				pass(3 * time.Second)
				for zone := range testRegions {
					_, want := store.items[zone]
					require.Equal(t, want, e.fleet.IsEvacuated(zone), zone)
				}
			},
			"": func(t *rapid.T) {
				shown := map[string]bool{}
				for _, z := range e.node.evacuations.list() {
					shown[z.Zone] = true
				}
				for zone := range testRegions {
					require.Equal(t, e.fleet.IsEvacuated(zone), shown[zone], "the dump must show what is in force")
				}
				require.False(t, e.fleet.IsEvacuated("unknown") || e.fleet.IsEvacuated(""))
			},
		})
	})
}

// Guards against an entry that serves its first requests from an evacuated zone.
func TestEvacuationsAreAppliedFirst(t *testing.T) {
	routing := update{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Routing: &magnolialedge.RoutingConfig{Version: 1}}}
	upstream := update{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Upstream: &magnolialedge.Registration{ID: "a"}}}
	evacuation := update{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Evacuation: &magnolialedge.Evacuation{Zone: "east-a", Active: true}}}
	require.Equal(t, []update{evacuation, upstream, routing}, sortRoutingLast([]update{routing, upstream, evacuation}))
}

func TestMain(m *testing.M) {
	seed.Main(m)
}
