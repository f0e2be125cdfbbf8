package lrledger

import (
	"context"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

const (
	// confirmDelay is the time after the end of an action at which its record is read again. It exceeds the age of a copy from which the
	// platform may come back.
	confirmDelay = 15 * time.Second
	// retryDelay is the time after which a record that could not be read is read again.
	retryDelay = time.Second
	// maxUnconfirmed bounds the records that wait to be read again, and maxKeptAnswer the bytes of the answer that each keeps.
	maxUnconfirmed = 4096
	maxKeptAnswer  = 4 << 10
)

// sentRecord is the record of an action that this instance has sent or is sending.
type sentRecord struct {
	name   string
	record lrpaid.Record
	dueAt  time.Time
	// isLost says that the platform has come back from an older copy since the record was written, which may lack it.
	isLost bool
	// isSending says that the action has not ended yet.
	isSending bool
}

// recordSending keeps the record of an action that is about to be sent, until recordEnd.
func (l *Ledger) recordSending(name string, record lrpaid.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sending[record.Nonce] = sentRecord{name: name, record: record, isSending: true}
}

// recordEnd forgets the record of an action whose sending has ended.
func (l *Ledger) recordEnd(nonce string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.sending, nonce)
}

// confirmLater has ConfirmRecords read the record again after the delay. Beyond maxUnconfirmed, the oldest one is left out.
func (l *Ledger) confirmLater(name string, record lrpaid.Record, delay time.Duration) {
	if record.Answer != nil && len(record.Answer.Body) > maxKeptAnswer {
		answer := record.Answer.WithoutContent()
		record.Answer = &answer
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isLost := l.sending[record.Nonce].isLost
	l.unconfirmed = append(l.unconfirmed, sentRecord{name: name, record: record, dueAt: l.Clock().Add(delay), isLost: isLost})
	l.unconfirmed = l.unconfirmed[max(0, len(l.unconfirmed)-maxUnconfirmed):]
}

// ConfirmRecords reads the records of the actions that this instance has sent a while ago, and writes those again that the platform has
// lost since. Without its record a repeated action would be sent again. Once the platform has come back from an older copy, it does so for
// all actions, also those that are being sent. It must be called periodically.
func (l *Ledger) ConfirmRecords(ctx context.Context, now time.Time) {
	l.readEra(ctx, now)
	for _, sent := range l.takeDue(now) {
		err := l.confirmRecord(ctx, sent)
		if err != nil {
			l.Log.Warn().Err(err).Str("requestId", sent.record.RequestID).Msg("paid: record not confirmed yet")
		}
		l.confirmAgain(sent, err)
	}
}

// confirmAgain has the record read again if that has failed, or if the platform may come back from a copy a second time. That of an action which
// is being sent is kept until it ends.
func (l *Ledger) confirmAgain(sent sentRecord, err error) {
	switch {
	case sent.isSending && err != nil:
		l.markLost(sent.record.Nonce)
	case sent.isSending:
	case err != nil:
		l.confirmLater(sent.name, sent.record, retryDelay)
	case sent.isLost:
		l.confirmLater(sent.name, sent.record, confirmDelay)
	}
}

// markLost has the record of the action read again, also if its sending has ended meanwhile. One that was released is kept no longer.
func (l *Ledger) markLost(nonce string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sent, isSending := l.sending[nonce]
	if isSending {
		sent.isLost = true
		l.sending[nonce] = sent
		return
	}
	for n := range l.unconfirmed {
		if l.unconfirmed[n].record.Nonce == nonce {
			l.unconfirmed[n].isLost = true
		}
	}
}

// hasEnded reports whether the sending of the action has ended, so that its record is no longer as it was kept.
func (l *Ledger) hasEnded(sent sentRecord) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, ok := l.sending[sent.record.Nonce]
	return sent.isSending && !ok
}

// takeDue returns the records to be read again now. The others stay, and so do those of actions that are being sent.
func (l *Ledger) takeDue(now time.Time) []sentRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var due []sentRecord
	for nonce, sent := range l.sending {
		if sent.isLost {
			due = append(due, sent)
			sent.isLost = false
			l.sending[nonce] = sent
		}
	}
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(sent sentRecord) bool {
		isDue := sent.isLost || !now.Before(sent.dueAt)
		if isDue {
			due = append(due, sent)
		}
		return isDue
	})
	return due
}

func (l *Ledger) confirmRecord(ctx context.Context, sent sentRecord) error {
	seen, err := read(ctx, l.Store, sent.name)
	if l.hasEnded(sent) {
		l.markLost(sent.record.Nonce)
		return nil
	}
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
