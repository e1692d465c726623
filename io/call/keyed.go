package call

import (
	"context"
	"net/http"

	"magnolialedge"
	"magnolialedge/core/call"
	core "magnolialedge/core/proc"
	"magnolialedge/io/event"
)

// keyed serves a non-idempotent request, which runs at most once also when the
// caller sends it again.
func (s *Server) keyed(w http.ResponseWriter, r *http.Request, x *exchange, key call.Key) {
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	decision, err := s.cfg.Keys.Begin(key, x.fingerprint)
	if err != nil {
		s.refuseKey(w, x, err)
		return
	}
	switch decision.Step {
	case core.KeyReplay:
		replay(w, x.id, decision.Record.Outcome, decision.Record.Response)
	case core.KeyJoin:
		s.join(ctx, w, x, key)
	default:
		s.findAndRun(ctx, w, r, x, key, decision)
	}
}

func (s *Server) refuseKey(w http.ResponseWriter, x *exchange, err error) {
	if magnolialedge.KindOf(err) == magnolialedge.KindKeyTableFull {
		s.cfg.Log.Log(event.KeyTableFull, "service", x.service, "requestId", x.id)
	}
	s.refuse(w, x.service, x.id, refusalOf(err))
}

// join waits for the request that has the key already.
func (s *Server) join(ctx context.Context, w http.ResponseWriter, x *exchange, key call.Key) {
	record, ok := s.cfg.Keys.WaitForEnd(ctx, key.ID)
	switch {
	case !ok:
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindDeadlineExceeded, magnolialedge.OutcomeUnknown, "an earlier attempt with this key is still running"))
	case record.State == core.KeyMoved:
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindSuperseded, magnolialedge.OutcomeUnknown, "another entry has the key"))
	case record.Outcome == "":
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindEarlierUnknown, magnolialedge.OutcomeUnknown, "an earlier attempt with this key may have been run"))
	case record.Outcome == magnolialedge.OutcomeNotRun:
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindOverloaded, magnolialedge.OutcomeNotRun, "the earlier attempt with this key was not run"))
	default:
		replay(w, x.id, record.Outcome, record.Response)
	}
}

func (s *Server) findAndRun(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, key call.Key, decision core.KeyDecision) {
	owner := decision.Owner
	told := magnolialedge.OutcomeUnknown
	defer func() { s.cfg.Keys.Release(key.ID, owner, decision.Record, told) }()
	found, err := s.finderOf(x).find(ctx, search{
		question: question{key: key, fingerprint: x.fingerprint, by: owner},
		service:  x.service,
		decision: decision,
		header:   r.Header,
	})
	if err != nil {
		f := refusalOf(err)
		told = f.outcome
		s.refuse(w, x.service, x.id, f)
		return
	}
	if !found.run {
		s.answerFound(w, x, key, owner, found.reply)
		return
	}
	if !s.cfg.Keys.Confirm(key.ID, owner) {
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindSuperseded, magnolialedge.OutcomeUnknown, "another entry was given the key"))
		return
	}
	s.runKeyed(w, x, key, owner)
}

func (s *Server) finderOf(x *exchange) finder {
	if x.svc.Config().KeyLookup == magnolialedge.KeyLookupCaller {
		return &callerFinder{asker: s.cfg.FenceClient, keys: s.cfg.Keys, self: s.cfg.PeerAddress}
	}
	return &storeFinder{asker: s.cfg.FenceClient, claims: s.cfg.Claims, keys: s.cfg.Keys, self: s.cfg.PeerAddress}
}

// answerFound answers with what an earlier entry said of the key.
func (s *Server) answerFound(w http.ResponseWriter, x *exchange, key call.Key, owner core.Owner, reply core.FenceReply) {
	switch {
	case reply.KeyReused:
		s.refuse(w, x.service, x.id, refusalOf(magnolialedge.NewError(magnolialedge.KindKeyReused, "the key was used with another request")))
	case reply.Status == core.FenceEnded:
		s.cfg.Keys.RecordRemote(key.ID, owner, reply)
		replay(w, x.id, reply.Outcome, reply.Response)
	case reply.Status == core.FenceRunning:
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindDeadlineExceeded, magnolialedge.OutcomeUnknown, "an earlier attempt with this key is still running"))
	default:
		s.refuse(w, x.service, x.id, newRefusal(magnolialedge.KindEarlierUnknown, magnolialedge.OutcomeUnknown, "an earlier attempt with this key may have been run"))
	}
}

// runKeyed runs the request. It goes on when the caller leaves, so that a
// resend learns the outcome.
func (s *Server) runKeyed(w http.ResponseWriter, x *exchange, key call.Key, owner core.Owner) {
	outcome := magnolialedge.OutcomeUnknown
	var answer *core.StoredResponse
	defer func() { s.cfg.Keys.End(key.ID, owner, outcome, answer) }()
	x.caller = context.Background()
	end := x.run()
	defer x.cancelRest(end.attempt)
	if end.attempt == nil {
		outcome = end.refusal.outcome
		s.refuse(w, x.service, x.id, end.refusal)
		return
	}
	outcome = end.attempt.result.Outcome
	answer = end.attempt.stored()
	s.cfg.Keys.End(key.ID, owner, outcome, answer)
	x.relay(w, end.attempt)
}
