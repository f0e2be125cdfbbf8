package lrledger

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

const (
	// confirmDelay is the time after the end of an action at which its record is read again. It exceeds the age of a copy from which the
	// platform may come back.
	confirmDelay = 15 * time.Second
	// maxUnconfirmed bounds the records that wait to be read again, and maxKeptAnswer the bytes of the answer that each keeps.
	maxUnconfirmed = 4096
	maxKeptAnswer  = 4 << 10
)

// sentRecord is the record of an action that this instance has sent.
type sentRecord struct {
	name   string
	record lrpaid.Record
	dueAt  time.Time
}

// confirmLater has ConfirmRecords read the record again. Beyond maxUnconfirmed, the oldest one is left out.
func (l *Ledger) confirmLater(name string, record lrpaid.Record) {
	if record.Answer != nil && len(record.Answer.Body) > maxKeptAnswer {
		answer := record.Answer.WithoutContent()
		record.Answer = &answer
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unconfirmed = append(l.unconfirmed, sentRecord{name: name, record: record, dueAt: l.Clock().Add(confirmDelay)})
	l.unconfirmed = l.unconfirmed[max(0, len(l.unconfirmed)-maxUnconfirmed):]
}

// ConfirmRecords reads the records of the actions that this instance has sent a while ago, and writes those again that the platform has
// lost since. Without its record a repeated action would be sent again. It must be called periodically.
func (l *Ledger) ConfirmRecords(ctx context.Context, now time.Time) {
	for {
		sent, ok := l.takeDue(now)
		if !ok {
			return
		}
		err := l.confirmRecord(ctx, sent)
		if err != nil {
			l.Log.Warn().Err(err).Str("requestId", sent.record.RequestID).Msg("paid: record not confirmed yet")
			l.confirmLater(sent.name, sent.record)
			return
		}
	}
}

func (l *Ledger) takeDue(now time.Time) (sentRecord, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.unconfirmed) == 0 || now.Before(l.unconfirmed[0].dueAt) {
		return sentRecord{}, false
	}
	sent := l.unconfirmed[0]
	l.unconfirmed = l.unconfirmed[1:]
	return sent, true
}

func (l *Ledger) confirmRecord(ctx context.Context, sent sentRecord) error {
	seen, err := read(ctx, l.Store, sent.name)
	if lrplatform.ErrNotFound.Has(err) {
		return l.createAgain(ctx, sent)
	}
	if err != nil {
		return err
	}
	if sent.record.IsSentAgain(seen.record) {
		l.Log.Error().Str("requestId", sent.record.RequestID).Str("sentAgainAs", seen.record.RequestID).
			Msg("paid: the platform lost the record of an action, which was sent again")
		l.RecordViolation("paidSentOnce")
		return nil
	}
	after, err := update(ctx, l.Store, seen, lrpaid.Restore(sent.record))
	if err == nil && after.object.Version != seen.object.Version {
		l.Log.Warn().Str("requestId", sent.record.RequestID).Str("state", string(sent.record.State)).Msg("paid: lost record written again")
	}
	return err
}

func (l *Ledger) createAgain(ctx context.Context, sent sentRecord) error {
	_, err := create(ctx, l.Store, sent.name, sent.record)
	if err == nil {
		l.Log.Warn().Str("requestId", sent.record.RequestID).Str("state", string(sent.record.State)).Msg("paid: lost record written again")
	}
	return err
}
