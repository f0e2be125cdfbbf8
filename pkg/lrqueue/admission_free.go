package lrqueue

import (
	"time"
)

const (
	// freeWindow is the time constant with which past requests to servers that were reported free lose weight.
	freeWindow = time.Second
	// idlePart is the part of the servers reported free from which on the service counts as idle, whatever has been learned.
	idlePart = 1.0 / 3
	// freePrior is the number of true reports that are assumed.
	freePrior = 3
	// maxFreeShare is the share of the completed work that is accepted only because a server is reported free.
	maxFreeShare = 0.2
	// maxFalseReports is the part of false reports of free servers up to which such reports are believed.
	maxFalseReports = 0.4
	// falseReportFactor and falseReportShare bound the time to the first event at a server that was free: a multiple of the estimate and a
	// share of the target more.
	falseReportFactor = 2.5
	falseReportShare  = 0.5
)

// freeReports counts how often a server that was reported free was not. Reports are older than it takes to fill a server, so that under overload
// most such reports are false.
type freeReports struct{ all, wrong, accepted decayed }

// observe adds the time to the first event at a server that was reported free.
func (f *freeReports) observe(now time.Time, estimated, observed, target time.Duration) {
	f.all.add(now, freeWindow, 1)
	if observed.Seconds() > falseReportFactor*estimated.Seconds()+falseReportShare*target.Seconds() {
		f.wrong.add(now, freeWindow, 1)
	}
}

// accept reports whether a request is accepted because the part of the servers is reported free. Few free servers among busy ones count only while
// such reports turn out to be true, and for a share of the completed work, since all instances see the same free servers.
func (f *freeReports) accept(now time.Time, work, completed, part float64) bool {
	if part >= idlePart {
		return true
	}
	isBelieved := f.wrong.value(now, freeWindow) <= maxFalseReports*(f.all.value(now, freeWindow)+freePrior)
	if part <= 0 || !isBelieved || f.accepted.value(now, freeWindow) > maxFreeShare*completed+freePrior*work {
		return false
	}
	f.accepted.add(now, freeWindow, work)
	return true
}
