package lrpeer

import (
	"math"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// EncodeQuarantine returns the message that holds the updates.
func EncodeQuarantine(updates lrquarantine.Updates) *lrpeerpb.QuarantineNews {
	news := &lrpeerpb.QuarantineNews{}
	for _, c := range updates.Crashes {
		note := &lrpeerpb.CrashNote{Server: c.Server, Request: uint64(c.Request.Whole), AgeMillis: AgeMillis(c.Age)}
		for _, p := range c.Request.Parts {
			note.Parts = append(note.Parts, uint64(p))
		}
		news.Crashes = append(news.Crashes, note)
	}
	for _, c := range updates.Completions {
		news.Completions = append(news.Completions, &lrpeerpb.CompletionNote{Trait: uint64(c.Trait), AgeMillis: AgeMillis(c.Age)})
	}
	for _, v := range updates.Verdicts {
		news.Verdicts = append(news.Verdicts, &lrpeerpb.VerdictNote{
			Trait: uint64(v.Trait), Version: v.Version, IsQuarantined: v.IsQuarantined, IsAmbiguous: v.IsAmbiguous, Trials: v.Trials,
			Crashes: v.Crashes, AgeMillis: AgeMillis(v.Age), SeenAgeMillis: AgeMillis(v.SeenAge),
		})
	}
	return news
}

// DecodeQuarantine returns the updates that the message holds. Notes without a trait, which earlier releases send, are left out.
func DecodeQuarantine(news *lrpeerpb.QuarantineNews) lrquarantine.Updates {
	var updates lrquarantine.Updates
	for _, c := range news.GetCrashes() {
		if c.GetRequest() == 0 || c.GetServer() == "" {
			continue
		}
		request := lrquarantine.Request{Whole: lrquarantine.Trait(c.GetRequest())}
		for _, p := range c.GetParts() {
			request.Parts = append(request.Parts, lrquarantine.Trait(p))
		}
		updates.Crashes = append(updates.Crashes, lrquarantine.CrashUpdate{Server: c.GetServer(), Request: request, Age: millis(c.GetAgeMillis())})
	}
	for _, c := range news.GetCompletions() {
		updates.Completions = append(updates.Completions, lrquarantine.CompletionUpdate{
			Trait: lrquarantine.Trait(c.GetTrait()), Age: millis(c.GetAgeMillis()),
		})
	}
	for _, v := range news.GetVerdicts() {
		if v.GetTrait() == 0 {
			continue
		}
		updates.Verdicts = append(updates.Verdicts, lrquarantine.VerdictUpdate{
			Verdict: lrquarantine.Verdict{
				Trait: lrquarantine.Trait(v.GetTrait()), Version: v.GetVersion(), IsQuarantined: v.GetIsQuarantined(),
				IsAmbiguous: v.GetIsAmbiguous(), Trials: v.GetTrials(), Crashes: v.GetCrashes(),
			},
			Age: millis(v.GetAgeMillis()), SeenAge: millis(v.GetSeenAgeMillis()),
		})
	}
	return updates
}

// AgeMillis returns an age as messages bear it. What has come up while a message is being made up has an age below zero, and what was never read
// one of centuries: both would wrap round.
func AgeMillis(age time.Duration) uint32 {
	return uint32(min(max(age, 0).Milliseconds(), math.MaxUint32))
}

func millis(value uint32) time.Duration { return time.Duration(value) * time.Millisecond }
