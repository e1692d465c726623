package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/core/mirror"
	"magnolialedge/io/stand"
)

// storeFaults describes which entries lose the store, and how, while a change is made.
type storeFaults struct {
	name    string
	entries int
	// affected entries have a link to the store with the given behaviour, and paused ones
	// do not run.
	affected, paused int
	link             stand.LinkBehaviour
	seed             uint64
}

// Calls to the store hang on a link that accepts connections and delivers nothing.
var (
	hangingLink = stand.LinkBehaviour{DropForward: true}
	lostReplies = stand.LinkBehaviour{DropBackward: true}
	resetLink   = stand.LinkBehaviour{Down: true}
	slowLink    = stand.LinkBehaviour{DelayMs: 500}
)

// Guards against a change that is in force late at an entry whose calls to the store hang,
// because the entry tries its ways to the changes one after the other and the bounds of the
// single tries add up.
func TestChangeIsInForceInTimeWhileCallsToTheStoreHang(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for _, c := range []storeFaults{
		{name: "one of six hangs and one is paused", entries: 6, affected: 1, paused: 1, link: hangingLink, seed: 1},
		{name: "five of six hang", entries: 6, affected: 5, link: hangingLink, seed: 2},
		{name: "four of nine hang and two are paused", entries: 9, affected: 4, paused: 2, link: hangingLink, seed: 3},
		{name: "five of six lose the replies", entries: 6, affected: 5, link: lostReplies, seed: 4},
		{name: "five of six are reset", entries: 6, affected: 5, link: resetLink, seed: 5},
		{name: "three of six hang, two are paused, and one is left", entries: 6, affected: 3, paused: 2, link: hangingLink, seed: 7},
		{name: "the store replies to all a second late", entries: 6, affected: 6, link: slowLink, seed: 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl, err := newCluster(Config{Binary: binary, Dir: t.TempDir(), Entries: c.entries, Upstreams: 2, Seed: c.seed})
			defer cl.close()
			require.NoError(t, err)
			require.NoError(t, cl.waitReady(context.Background()))
			time.Sleep(settleTime)
			r := rand.New(rand.NewPCG(c.seed, c.seed))
			for round := range 3 {
				late := cl.changeDuring(c, r)
				require.Empty(t, late, "round %d", round)
				time.Sleep(settleTime)
			}
		})
	}
}

// changeDuring writes a version of the routes while entries are affected, and returns a line
// for each running entry at which the version is not in force within the default bound.
func (cl *cluster) changeDuring(c storeFaults, r *rand.Rand) []string {
	order := r.Perm(len(cl.entries))
	affected, paused, running := order[:c.affected], order[c.affected:c.affected+c.paused], map[int]bool{}
	for _, i := range order {
		running[i] = true
	}
	for _, i := range affected {
		cl.entries[i].storeLink.SetBehaviour(c.link)
		defer cl.entries[i].storeLink.SetBehaviour(stand.LinkBehaviour{})
	}
	for _, i := range paused {
		delete(running, i)
		cl.entries[i].process().signal(syscall.SIGSTOP)
		defer cl.entries[i].process().signal(syscall.SIGCONT)
	}
	time.Sleep(time.Duration(r.Int64N(int64(1500 * time.Millisecond))))
	cl.writeConfig()
	at := time.Now()
	client := &http.Client{Timeout: time.Second}
	time.Sleep(mirror.DefaultPropagation)
	var late []string
	for i := range cl.entries {
		if !running[i] {
			continue
		}
		s, err := cl.entries[i].status(client)
		if err != nil || s.Version < cl.lastVersion {
			late = append(late, fmt.Sprintf("%s has version %d %v after version %d was accepted (affected %v, paused %v, error %v)", cl.entries[i].settings.Name, s.Version, time.Since(at).Round(10*time.Millisecond), cl.lastVersion, affected, paused, err))
		}
	}
	return late
}
