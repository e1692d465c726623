package call

import (
	"context"
	"net/http"
	"strings"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/io/proc"
)

// keyQuery is a request's key with the data that decides whether the request may run.
type keyQuery struct {
	fenceQuery
	service  string
	decision core.KeyDecision
	header   http.Header
}

// lookupResult reports whether the request may run, or else the fence reply that
// rules it out.
type lookupResult struct {
	canRun bool
	reply  core.FenceReply
}

// keyLookup decides whether the request with a key may run at this entry. An error
// means that it must not.
type keyLookup interface {
	lookUp(ctx context.Context, q keyQuery) (lookupResult, error)
}

// callerLookup queries the entries that the caller names in Request-Tried.
type callerLookup struct {
	fenceClient *FenceClient
	keys        *proc.KeyTable
	self        string
}

func (l *callerLookup) lookUp(ctx context.Context, q keyQuery) (lookupResult, error) {
	earlier, err := l.earlierOwners(q)
	if err != nil {
		return lookupResult{}, err
	}
	for _, owner := range earlier {
		reply := l.queryOwner(ctx, q, owner)
		if reply.Status != core.FenceGranted {
			return lookupResult{reply: reply}, nil
		}
	}
	return lookupResult{canRun: true}, nil
}

// queryOwner queries an earlier owner. If this entry is the owner or its successor, it
// consults its own table instead, which has no records of requests that an earlier
// generation ran.
func (l *callerLookup) queryOwner(ctx context.Context, q keyQuery, owner core.Owner) core.FenceReply {
	if l.fenceClient.cfg.SuccessorOf(owner.Peer) != l.self {
		return l.fenceClient.query(ctx, q.fenceQuery, owner)
	}
	isNotRun := owner.Peer == l.self || isKnownNotRun(q.decision)
	if isNotRun && l.keys.HasCompleteHistory(q.key) {
		return core.FenceReply{Status: core.FenceGranted}
	}
	return core.FenceReply{Status: core.FenceUnknown}
}

// isKnownNotRun reports whether the key record shows that this entry's earlier
// attempt did not run the request.
func isKnownNotRun(d core.KeyDecision) bool {
	ended := d.Record.State == core.KeyEnded
	return d.Step == core.KeyFollow || (ended && (d.Record.Outcome == magnolialedge.OutcomeNotRun || d.Record.Outcome == ""))
}

// maxTriedEntries limits the entries that a caller may name in Request-Tried.
const maxTriedEntries = 8

// earlierOwners returns the owners to ask: the entry that the key moved to, and
// those that the caller names.
func (l *callerLookup) earlierOwners(q keyQuery) ([]core.Owner, error) {
	var out []core.Owner
	if q.decision.Step == core.KeyFollow {
		out = append(out, q.decision.Record.MovedTo)
	}
	tried := q.header.Get(HeaderTriedEntries)
	if tried == "" {
		if q.header.Get(HeaderAttempt) != "first" && q.decision.Step == core.KeyAcquire {
			return nil, magnolialedge.NewError(magnolialedge.KindAttemptMissing, "the request must carry Request-Attempt: first or Request-Tried")
		}
		return out, nil
	}
	names := strings.Split(tried, ",")
	if len(names) > maxTriedEntries {
		return nil, magnolialedge.NewError(magnolialedge.KindAttemptMissing, "Request-Tried names more than 8 entries")
	}
	for _, name := range names {
		peer, ok := l.fenceClient.cfg.PeerOf(strings.TrimSpace(name))
		if !ok {
			return nil, magnolialedge.NewError(magnolialedge.KindEarlierUnknown, "no entry is known at "+strings.TrimSpace(name))
		}
		out = append(out, core.Owner{Peer: peer})
	}
	return out, nil
}

// storeLookup claims each key in the platform's key-value service before the
// request runs.
type storeLookup struct {
	fenceClient *FenceClient
	claims      *ClaimStore
	keys        *proc.KeyTable
	self        string
}

func (l *storeLookup) lookUp(ctx context.Context, q keyQuery) (lookupResult, error) {
	req := core.ClaimRequest{Key: q.key, Owner: q.requester}
	for range maxHops {
		owner, granted, err := l.claims.Claim(ctx, q.service, req)
		if err != nil {
			return lookupResult{}, err
		}
		if granted {
			return lookupResult{canRun: true}, nil
		}
		reply := l.queryOwner(ctx, q, owner)
		if reply.Status != core.FenceGranted {
			return lookupResult{reply: reply}, nil
		}
		req.Replaces = owner
	}
	return lookupResult{reply: core.FenceReply{Status: core.FenceUnknown}}, nil
}

// queryOwner queries the owner that the store holds. If that is this entry or a stopped
// one whose table it took over, the key is granted if the earlier attempt is known
// not to have run.
func (l *storeLookup) queryOwner(ctx context.Context, q keyQuery, owner core.Owner) core.FenceReply {
	if l.fenceClient.cfg.SuccessorOf(owner.Peer) != l.self {
		return l.fenceClient.query(ctx, q.fenceQuery, owner)
	}
	if l.keys.CoversGeneration(owner.Generation) && isKnownNotRun(q.decision) {
		return core.FenceReply{Status: core.FenceGranted}
	}
	return core.FenceReply{Status: core.FenceUnknown}
}
