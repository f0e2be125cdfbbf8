package lrframe

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

// parsedCost is the memory of a header value in net/http at least: a string and an entry of a map or a list.
const parsedCost = 40

// FuzzHeadCost checks what a head is charged: not less than what net/http makes of it, the same however the bytes are split, and never less
// than for its beginning. A head that costs more than it is charged would exceed the budget.
func FuzzHeadCost(f *testing.F) {
	for _, h := range heads() {
		f.Add([]byte(h.text), uint64(1))
	}
	for _, line := range []string{"a:\r\n", "ab:\r\n", "a:,,,,,,,\r\n", "a:\n", ":\r\n", "a: \xff\r\n", " x\r\n"} {
		f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(line, 60)+"\r\n"), uint64(2))
	}
	f.Fuzz(func(t *testing.T, data []byte, seed uint64) {
		whole := inspector{headLimits: headLimits{maxHead: 1 << 10, maxLines: 40}}
		whole.inspect(data)
		split, isMonotonic := costOfSplit(rand.New(rand.NewPCG(seed, 7)), data)
		if !isMonotonic {
			t.Fatal("a head is charged less than its beginning")
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if whole.violation() != "" || err != nil || len(whole.completed) == 0 {
			return
		}
		if totalCost(&whole) != split {
			t.Fatalf("cost %d as a whole, %d in parts", totalCost(&whole), split)
		}
		least := 0
		for name, values := range request.Header {
			for _, v := range values {
				least += parsedCost + len(name) + len(v)
			}
		}
		if whole.completed[0].cost < least {
			t.Fatalf("a head is charged %d, but needs at least %d", whole.completed[0].cost, least)
		}
	})
}

// costOfSplit passes the data to an inspector in parts and returns the cost, and whether it never fell.
func costOfSplit(random *rand.Rand, data []byte) (cost int, isMonotonic bool) {
	i := inspector{headLimits: headLimits{maxHead: 1 << 10, maxLines: 40}}
	isMonotonic = true
	for len(data) > 0 {
		n := 1 + random.IntN(len(data))
		i.inspect(data[:n])
		data = data[n:]
		isMonotonic = isMonotonic && totalCost(&i) >= cost
		cost = totalCost(&i)
	}
	return cost, isMonotonic
}

func totalCost(i *inspector) int {
	total := i.cost
	for _, h := range i.completed {
		total += h.cost
	}
	return total
}
