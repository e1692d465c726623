package call

import (
	"context"
	"net/http"

	"magnolialedge"
	"magnolialedge/core/call"
	core "magnolialedge/core/proc"
	"magnolialedge/io/event"
)

// serveKeyed serves a non-idempotent request. It runs at most once, even if the
// caller sends it again with the same key.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, x *exchange, key call.Key) {
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	decision, err := s.cfg.Keys.Begin(key, x.fingerprint)
	if err != nil {
		s.writeKeyError(w, x, err)
		return
	}
	switch decision.Step {
	case core.KeyReplay:
		replay(w, x.requestID, decision.Record.Outcome, decision.Record.Response)
	case core.KeyJoin:
		s.waitForKey(ctx, w, x, key)
	default:
		s.lookUpAndRun(ctx, w, r, x, key, decision)
	}
}

func (s *Server) writeKeyError(w http.ResponseWriter, x *exchange, err error) {
	if magnolialedge.KindOf(err) == magnolialedge.KindKeyTableFull {
		s.cfg.Log.Log(event.KeyTableFull, "service", x.service, "requestId", x.requestID)
	}
	s.writeError(w, x.service, x.requestID, errorResponseFor(err))
}

// waitForKey waits for the end of the request that already holds the key, and
// replays its response.
func (s *Server) waitForKey(ctx context.Context, w http.ResponseWriter, x *exchange, key call.Key) {
	record, ok := s.cfg.Keys.WaitForEnd(ctx, key.ID)
	switch {
	case !ok:
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindDeadlineExceeded, magnolialedge.OutcomeUnknown, "an earlier attempt with this key is still running"))
	case record.State == core.KeyMoved:
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindSuperseded, magnolialedge.OutcomeUnknown, "another entry has the key"))
	case record.Outcome == "":
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindEarlierUnknown, magnolialedge.OutcomeUnknown, "an earlier attempt with this key may have been run"))
	case record.Outcome == magnolialedge.OutcomeNotRun:
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindOverloaded, magnolialedge.OutcomeNotRun, "the earlier attempt with this key was not run"))
	default:
		replay(w, x.requestID, record.Outcome, record.Response)
	}
}

// lookUpAndRun runs the request if no earlier attempt with its key may have run.
// The key is released with the outcome if the request does not run.
func (s *Server) lookUpAndRun(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, key call.Key, decision core.KeyDecision) {
	owner := decision.Owner
	outcome := magnolialedge.OutcomeUnknown
	defer func() { s.cfg.Keys.EndLookup(key.ID, owner, decision.Record, outcome) }()
	result, err := s.keyLookupFor(x).lookUp(ctx, keyQuery{
		fenceQuery: fenceQuery{key: key, fingerprint: x.fingerprint, requester: owner},
		service:    x.service,
		decision:   decision,
		header:     r.Header,
	})
	if err != nil {
		resp := errorResponseFor(err)
		outcome = resp.outcome
		s.writeError(w, x.service, x.requestID, resp)
		return
	}
	if !result.canRun {
		s.writeEarlierResult(w, x, key, owner, result.reply)
		return
	}
	if !s.cfg.Keys.Confirm(key.ID, owner) {
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindSuperseded, magnolialedge.OutcomeUnknown, "another entry was given the key"))
		return
	}
	s.runKeyed(w, x, key, owner)
}

func (s *Server) keyLookupFor(x *exchange) keyLookup {
	if x.svc.Config().KeyLookup == magnolialedge.KeyLookupCaller {
		return &callerLookup{fenceClient: s.cfg.FenceClient, keys: s.cfg.Keys, self: s.cfg.PeerAddress}
	}
	return &storeLookup{fenceClient: s.cfg.FenceClient, claims: s.cfg.Claims, keys: s.cfg.Keys, self: s.cfg.PeerAddress}
}

// writeEarlierResult writes the response that an earlier owner's fence reply calls
// for.
func (s *Server) writeEarlierResult(w http.ResponseWriter, x *exchange, key call.Key, owner core.Owner, reply core.FenceReply) {
	switch {
	case reply.KeyReused:
		s.writeError(w, x.service, x.requestID, errorResponseFor(magnolialedge.NewError(magnolialedge.KindKeyReused, "the key was used with another request")))
	case reply.Status == core.FenceEnded:
		s.cfg.Keys.RecordRemoteEnd(key.ID, owner, reply)
		replay(w, x.requestID, reply.Outcome, reply.Response)
	case reply.Status == core.FenceRunning:
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindDeadlineExceeded, magnolialedge.OutcomeUnknown, "an earlier attempt with this key is still running"))
	default:
		s.writeError(w, x.service, x.requestID, newErrorResponse(magnolialedge.KindEarlierUnknown, magnolialedge.OutcomeUnknown, "an earlier attempt with this key may have been run"))
	}
}

// runKeyed runs the request. It continues when the caller disconnects, so that a
// resend gets the outcome.
func (s *Server) runKeyed(w http.ResponseWriter, x *exchange, key call.Key, owner core.Owner) {
	outcome := magnolialedge.OutcomeUnknown
	var stored *core.StoredResponse
	defer func() { s.cfg.Keys.End(key.ID, owner, outcome, stored) }()
	x.callerCtx = context.Background()
	result := x.run()
	defer x.cancelOthers(result.attempt)
	if result.attempt == nil {
		outcome = result.errResponse.outcome
		s.writeError(w, x.service, x.requestID, result.errResponse)
		return
	}
	outcome = result.attempt.result.Outcome
	stored = result.attempt.storedResponse()
	s.cfg.Keys.End(key.ID, owner, outcome, stored)
	x.relay(w, result.attempt)
}
