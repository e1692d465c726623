package call

import (
	"context"
	"net/http"
	"strings"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/io/proc"
)

// search is what a finder is asked.
type search struct {
	question
	service  string
	decision core.KeyDecision
	header   http.Header
}

// verdict is what a finder found: the key may be run, or the reply tells why
// not.
type verdict struct {
	run   bool
	reply core.FenceReply
}

// finder finds out whether a key may be run here.
type finder interface {
	find(ctx context.Context, s search) (verdict, error)
}

// callerFinder relies on the caller to name the entries it tried.
type callerFinder struct {
	asker *FenceClient
	keys  *proc.KeyTable
	self  string
}

func (f *callerFinder) find(ctx context.Context, s search) (verdict, error) {
	earlier, err := f.earlier(s)
	if err != nil {
		return verdict{}, err
	}
	for _, o := range earlier {
		reply := f.askOne(ctx, s, o)
		if reply.Status != core.FenceGranted {
			return verdict{reply: reply}, nil
		}
	}
	return verdict{run: true}, nil
}

// askOne asks an earlier entry. This entry asks itself, or a stopped one that it
// answers for, by a look in its own table, which says nothing of what an earlier
// generation ran.
func (f *callerFinder) askOne(ctx context.Context, s search, o core.Owner) core.FenceReply {
	if f.asker.cfg.SuccessorOf(o.Peer) != f.self {
		return f.asker.ask(ctx, s.question, o)
	}
	unrun := o.Peer == f.self || knownNotRun(s.decision)
	if unrun && f.keys.IsCompleteFor(s.key) {
		return core.FenceReply{Status: core.FenceGranted}
	}
	return core.FenceReply{Status: core.FenceUnknown}
}

// knownNotRun reports whether this entry remembers that the key was not run by
// an earlier try of its own.
func knownNotRun(d core.KeyDecision) bool {
	ended := d.Record.State == core.KeyEnded
	return d.Step == core.KeyFollow || (ended && (d.Record.Outcome == magnolialedge.OutcomeNotRun || d.Record.Outcome == ""))
}

// mostTried bounds the entries that a caller may name.
const mostTried = 8

func (f *callerFinder) earlier(s search) ([]core.Owner, error) {
	var out []core.Owner
	if s.decision.Step == core.KeyFollow {
		out = append(out, s.decision.Record.MovedTo)
	}
	tried := s.header.Get(HeaderTriedEntries)
	if tried == "" {
		if s.header.Get(HeaderAttempt) != "first" && s.decision.Step == core.KeyAcquire {
			return nil, magnolialedge.NewError(magnolialedge.KindAttemptMissing, "the request must carry Request-Attempt: first or Request-Tried")
		}
		return out, nil
	}
	names := strings.Split(tried, ",")
	if len(names) > mostTried {
		return nil, magnolialedge.NewError(magnolialedge.KindAttemptMissing, "Request-Tried names more than 8 entries")
	}
	for _, name := range names {
		peer, ok := f.asker.cfg.PeerOf(strings.TrimSpace(name))
		if !ok {
			return nil, magnolialedge.NewError(magnolialedge.KindEarlierUnknown, "no entry is known at "+strings.TrimSpace(name))
		}
		out = append(out, core.Owner{Peer: peer})
	}
	return out, nil
}

// storeFinder records each key in the platform's service before it is run.
type storeFinder struct {
	asker  *FenceClient
	claims *ClaimStore
	keys   *proc.KeyTable
	self   string
}

func (f *storeFinder) find(ctx context.Context, s search) (verdict, error) {
	req := core.ClaimRequest{Key: s.key, Owner: s.by}
	for range mostHops {
		found, granted, err := f.claims.Claim(ctx, s.service, req)
		if err != nil {
			return verdict{}, err
		}
		if granted {
			return verdict{run: true}, nil
		}
		reply := f.askOwner(ctx, s, found)
		if reply.Status != core.FenceGranted {
			return verdict{reply: reply}, nil
		}
		req.Replaces = found
	}
	return verdict{reply: core.FenceReply{Status: core.FenceUnknown}}, nil
}

// askOwner asks the owner that the store names. An earlier try of this entry
// that is known not to have been run grants the key itself.
func (f *storeFinder) askOwner(ctx context.Context, s search, found core.Owner) core.FenceReply {
	if f.asker.cfg.SuccessorOf(found.Peer) != f.self {
		return f.asker.ask(ctx, s.question, found)
	}
	if f.keys.CoversGeneration(found.Generation) && knownNotRun(s.decision) {
		return core.FenceReply{Status: core.FenceGranted}
	}
	return core.FenceReply{Status: core.FenceUnknown}
}
