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
	// submitTries bounds the writes of one change.
	submitTries = 5
	// submitPause is the pause after a lost reply.
	submitPause = 200 * time.Millisecond
)

// SubmitResult tells an operator what became of a change.
type SubmitResult struct {
	// Revision is that of the change when it was accepted, or else the one in
	// the store.
	Revision int64
	// Stored is the version that a refused change collided with.
	Stored magnolialedge.DocumentVersion
}

// Submit writes a change to the store. The error's kind is KindConflict when
// another change came first, KindStoreUnavailable when nothing was accepted and
// KindPending when that can't be known yet.
func (k *Syncer) Submit(ctx context.Context, c vers.Change) (SubmitResult, error) {
	if err := checkSize(c); err != nil {
		return SubmitResult{}, err
	}
	value, err := k.cfg.Store.Get(ctx, StoreKey)
	if err != nil {
		return SubmitResult{}, unavailable(err)
	}
	lost := false
	for range submitTries {
		stored, err := Decode(value.Data)
		if err != nil {
			return SubmitResult{}, err
		}
		ruling, revision := vers.Decide(stored, c)
		if ruling != vers.DecisionWrite {
			return k.ruled(ctx, ruling, revision, stored, value)
		}
		next := vers.NextVersion(stored, c, time.Now())
		data, err := Encode(next)
		if err != nil {
			return SubmitResult{}, err
		}
		written, err := k.cfg.Store.CompareAndSwap(ctx, StoreKey, value.Revision, data, 0)
		switch {
		case err == nil:
			return k.accepted(ctx, next, data)
		case errors.Is(err, magnolialedge.ErrRevisionConflict):
			value = written
		case errors.Is(err, magnolialedge.ErrReplyLost):
			lost = true
			pause(ctx, submitPause)
		case !lost:
			return SubmitResult{}, unavailable(err)
		default:
			pause(ctx, submitPause)
		}
	}
	return SubmitResult{}, pending(c)
}

// ruled ends a submission whose fate the store decides. A change that a lost
// reply hid is put in force here too.
func (k *Syncer) ruled(ctx context.Context, ruling vers.Decision, revision int64, stored magnolialedge.DocumentVersion, value magnolialedge.Value) (SubmitResult, error) {
	switch ruling {
	case vers.DecisionAccepted:
		if err := k.ApplyEncoded(value.Data); err != nil {
			return SubmitResult{}, err
		}
		go k.Push(context.WithoutCancel(ctx), stored.Revision, value.Data)
		return SubmitResult{Revision: revision, Stored: stored}, nil
	case vers.DecisionTooOld:
		e := magnolialedge.NewError(magnolialedge.KindConflict, "the change is too old to tell whether it was accepted")
		return SubmitResult{Revision: revision, Stored: stored}, e.WithOutcome(magnolialedge.OutcomeUnknown)
	}
	detail := fmt.Sprintf("revision %d by %q was accepted first; nothing of this change was", stored.Revision, stored.Author)
	return SubmitResult{Revision: revision, Stored: stored}, magnolialedge.NewError(magnolialedge.KindConflict, detail)
}

func (k *Syncer) accepted(ctx context.Context, v magnolialedge.DocumentVersion, data []byte) (SubmitResult, error) {
	k.cfg.Log.Log(event.VersionAccepted, "revision", v.Revision, "changeId", v.ChangeID, "author", v.Author)
	if err := k.ApplyEncoded(data); err != nil {
		return SubmitResult{}, err
	}
	go k.Push(context.WithoutCancel(ctx), v.Revision, data)
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

func unavailable(err error) error {
	return magnolialedge.NewError(magnolialedge.KindStoreUnavailable, "nothing was accepted: "+err.Error())
}

func pending(c vers.Change) error {
	return magnolialedge.NewError(magnolialedge.KindPending, "the change "+c.ID+" may have been accepted; submit it again unchanged to learn of it")
}
