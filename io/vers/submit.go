package vers

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/event"
)

const (
	// maxSubmitAttempts limits the attempts to write one change.
	maxSubmitAttempts = 5
	// lostReplyPause is the pause before the next attempt once a reply of the store
	// has been lost.
	lostReplyPause = 200 * time.Millisecond
)

// SubmitResult is the result of submitting a change.
type SubmitResult struct {
	// Revision is the revision of the accepted change, or the stored revision if
	// the change was refused.
	Revision int64
	// Stored is the version in the store, with which a refused change conflicts. It
	// includes the change if that was accepted.
	Stored magnolialedge.DocumentVersion
}

// Submit writes a change to the store, puts the new version in force and pushes it to
// the relays. The error's kind is KindInvalidDocument if the document is too large,
// KindConflict if another change was accepted first or if the change is too old to
// determine whether it was accepted, KindStoreUnavailable if nothing was accepted, and
// KindPending if the change may have been accepted.
func (s *Syncer) Submit(ctx context.Context, c vers.Change) (SubmitResult, error) {
	if err := checkSize(c); err != nil {
		return SubmitResult{}, err
	}
	value, err := s.cfg.Store.Get(ctx, StoreKey)
	if err != nil {
		return SubmitResult{}, storeUnavailable(err)
	}
	replyLost := false
	for range maxSubmitAttempts {
		stored, err := Decode(value.Data)
		if err != nil {
			return SubmitResult{}, err
		}
		decision, revision := vers.Decide(stored, c)
		if decision != vers.DecisionWrite {
			return s.finishDecided(ctx, decision, revision, stored, value)
		}
		next := vers.NextVersion(stored, c, time.Now())
		data, err := Encode(next)
		if err != nil {
			return SubmitResult{}, err
		}
		written, err := s.cfg.Store.CompareAndSwap(ctx, StoreKey, value.Revision, data, 0)
		switch {
		case err == nil:
			return s.finishAccepted(ctx, next, data)
		case errors.Is(err, magnolialedge.ErrRevisionConflict):
			value = written
		case errors.Is(err, magnolialedge.ErrReplyLost):
			replyLost = true
			pause(ctx, lostReplyPause)
		case !replyLost:
			return SubmitResult{}, storeUnavailable(err)
		default:
			pause(ctx, lostReplyPause)
		}
	}
	return SubmitResult{}, changePending(c)
}

// finishDecided ends a submission whose result follows from the stored version. If an
// earlier attempt, whose reply was lost, wrote the change, finishDecided puts the
// version in force and pushes it.
func (s *Syncer) finishDecided(ctx context.Context, decision vers.Decision, revision int64, stored magnolialedge.DocumentVersion, value magnolialedge.Value) (SubmitResult, error) {
	switch decision {
	case vers.DecisionAccepted:
		if err := s.ApplyEncoded(value.Data); err != nil {
			return SubmitResult{}, err
		}
		go s.Push(context.WithoutCancel(ctx), stored.Revision, value.Data)
		return SubmitResult{Revision: revision, Stored: stored}, nil
	case vers.DecisionTooOld:
		conflict := magnolialedge.NewError(magnolialedge.KindConflict, "the change is too old to tell whether it was accepted")
		return SubmitResult{Revision: revision, Stored: stored}, conflict.WithOutcome(magnolialedge.OutcomeUnknown)
	}
	detail := fmt.Sprintf("revision %d by %q was accepted first; nothing of this change was", stored.Revision, stored.Author)
	return SubmitResult{Revision: revision, Stored: stored}, magnolialedge.NewError(magnolialedge.KindConflict, detail)
}

// finishAccepted puts an accepted version in force here and pushes it to the relays.
func (s *Syncer) finishAccepted(ctx context.Context, v magnolialedge.DocumentVersion, data []byte) (SubmitResult, error) {
	s.cfg.Log.Log(event.VersionAccepted, "revision", v.Revision, "changeId", v.ChangeID, "author", v.Author)
	if err := s.ApplyEncoded(data); err != nil {
		return SubmitResult{}, err
	}
	go s.Push(context.WithoutCancel(ctx), v.Revision, data)
	return SubmitResult{Revision: v.Revision, Stored: v}, nil
}

func checkSize(c vers.Change) error {
	data, err := vers.Format(c.Document)
	if err != nil {
		return err
	}
	if len(data) > vers.MaxDocumentBytes {
		return magnolialedge.NewError(magnolialedge.KindInvalidDocument, "the document is larger than 1048576 bytes")
	}
	return nil
}

func storeUnavailable(err error) error {
	return magnolialedge.NewError(magnolialedge.KindStoreUnavailable, "nothing was accepted: "+err.Error())
}

func changePending(c vers.Change) error {
	return magnolialedge.NewError(magnolialedge.KindPending, "the change "+c.ID+" may have been accepted; submit it again unchanged to learn of it")
}
