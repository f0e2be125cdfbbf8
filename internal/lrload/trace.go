package lrload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// A Shape describes the nested prompts of a load: rules, then a customer's file, then a case.
type Shape struct {
	RulesBlocks    int
	CustomerBlocks int
	CaseBlocks     int
	// Rules, Customers and Cases are the numbers of distinct texts per level, for each text of the level above.
	Rules     int
	Customers int
	Cases     int
	// Skew is the Zipf exponent of the popularity of the texts.
	Skew float64
}

// DefaultShape returns a Shape whose levels have 6, 3 and 2 blocks.
func DefaultShape() Shape {
	return Shape{RulesBlocks: 6, CustomerBlocks: 3, CaseBlocks: 2, Rules: 4, Customers: 20, Cases: 50, Skew: 1}
}

// A Request is a planned request of a load. Account is an index into the accounts of the load.
type Request struct {
	// At is when the request is sent, relative to the start of the load.
	At      time.Duration
	Account int
	Prompt  string
}

// Trace returns the requests of a load in order of arrival. The same arguments give the same requests.
func Trace(shape Shape, accounts int, rate float64, duration time.Duration, seed uint64) []Request {
	random := rand.New(rand.NewPCG(seed, seed))
	var requests []Request
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return requests
		}
		requests = append(requests, Request{At: at, Account: random.IntN(accounts), Prompt: shape.prompt(random)})
	}
}

func (s Shape) prompt(random *rand.Rand) string {
	rules := pick(random, s.Rules, s.Skew)
	customer := pick(random, s.Customers, s.Skew)
	caseNumber := pick(random, s.Cases, s.Skew)
	return blockText(fmt.Sprintf("rules %d", rules), s.RulesBlocks) +
		blockText(fmt.Sprintf("rules %d customer %d", rules, customer), s.CustomerBlocks) +
		blockText(fmt.Sprintf("rules %d customer %d case %d", rules, customer, caseNumber), s.CaseBlocks)
}

// pick returns an index with a Zipf distribution, whose exponent is the skew.
func pick(random *rand.Rand, count int, skew float64) int {
	total := 0.0
	for n := range count {
		total += math.Pow(float64(n+1), -skew)
	}
	point := random.Float64() * total
	for n := range count {
		point -= math.Pow(float64(n+1), -skew)
		if point < 0 {
			return n
		}
	}
	return count - 1
}

func blockText(label string, count int) string {
	line := label + ".\n"
	text := strings.Repeat(line, count*lrprefix.BlockBytes/len(line)+1)
	return text[:count*lrprefix.BlockBytes]
}
