package lrqueue

import "slices"

// A Ticket is one entry in a Scheduler.
type Ticket[T any] struct {
	Entry Entry
	Value T
	lane  *lane[T]
}

// A Scheduler orders waiting entries: the highest priority first, and within a priority by deficit round robin over
// the client accounts. It is not safe for use by several goroutines.
type Scheduler[T any] struct {
	quantum int
	// classes are ordered by falling priority. None is empty.
	classes []*class[T]
	waiting int
}

// class holds the lanes of one priority.
type class[T any] struct {
	priority int
	lanes    []*lane[T]
	byName   map[string]*lane[T]
	// turn is the lane that is being served. Its quantum has been added when credited is set.
	turn     int
	credited bool
	waiting  int
}

// lane holds the tickets of one client account in one class.
type lane[T any] struct {
	class   *class[T]
	account string
	tickets []*Ticket[T]
	deficit int
	waiting int
}

// NewScheduler returns an empty Scheduler that gives each client account quantum tokens a round.
func NewScheduler[T any](quantum int) *Scheduler[T] {
	return &Scheduler[T]{quantum: max(quantum, 1)}
}

// Waiting returns the tokens of all waiting entries.
func (s *Scheduler[T]) Waiting() int { return s.waiting }

// NextPriority returns the priority of the next ticket. It reports false when none waits.
func (s *Scheduler[T]) NextPriority() (int, bool) {
	if len(s.classes) == 0 {
		return 0, false
	}
	return s.classes[0].priority, true
}

// Push adds an entry behind the others of its client account.
func (s *Scheduler[T]) Push(entry Entry, value T) *Ticket[T] {
	l := s.lane(entry)
	ticket := &Ticket[T]{Entry: entry, Value: value, lane: l}
	l.tickets = append(l.tickets, ticket)
	s.count(l, entry.Tokens)
	return ticket
}

// Pop removes and returns the next ticket. It reports false when none waits.
func (s *Scheduler[T]) Pop() (*Ticket[T], bool) {
	if len(s.classes) == 0 {
		return nil, false
	}
	c := s.classes[0]
	for visits := 0; ; visits++ {
		l := c.lanes[c.turn]
		if !c.credited {
			l.deficit += s.quantum
			c.credited = true
		}
		head := l.tickets[0]
		if head.Entry.Tokens <= l.deficit {
			l.deficit -= head.Entry.Tokens
			s.Remove(head)
			return head, true
		}
		c.pass()
		if visits > 0 && visits%len(c.lanes) == 0 {
			c.skipRounds(s.quantum)
		}
	}
}

// Remove takes a ticket out. It reports false when the ticket does not wait any more.
func (s *Scheduler[T]) Remove(ticket *Ticket[T]) bool {
	l := ticket.lane
	if l == nil {
		return false
	}
	ticket.lane = nil
	at := slices.Index(l.tickets, ticket)
	if at == 0 {
		l.tickets[0] = nil
		l.tickets = l.tickets[1:]
	} else {
		l.tickets = slices.Delete(l.tickets, at, at+1)
	}
	s.count(l, -ticket.Entry.Tokens)
	if len(l.tickets) == 0 {
		s.dropLane(l)
	}
	return true
}

// Ahead returns the tokens that are served before an entry that is pushed now would be.
func (s *Scheduler[T]) Ahead(entry Entry) int {
	ahead := 0
	for _, c := range s.classes {
		switch {
		case c.priority > entry.Priority:
			ahead += c.waiting
		case c.priority == entry.Priority:
			ahead += c.ahead(entry)
		}
	}
	return ahead
}

// Largest returns the newest ticket of the lane that should give way to the entry: of the lowest priority the one with
// the most waiting tokens. It reports false when the entry itself should give way.
func (s *Scheduler[T]) Largest(entry Entry) (*Ticket[T], bool) {
	if len(s.classes) == 0 {
		return nil, false
	}
	c := s.classes[len(s.classes)-1]
	largest := slices.MaxFunc(c.lanes, func(a, b *lane[T]) int { return a.waiting - b.waiting })
	own := entry.Tokens
	if l, ok := c.byName[entry.Account]; ok {
		own += l.waiting
	}
	if c.priority > entry.Priority || c.priority == entry.Priority && largest.waiting <= own {
		return nil, false
	}
	return largest.tickets[len(largest.tickets)-1], true
}

func (s *Scheduler[T]) lane(entry Entry) *lane[T] {
	at, ok := slices.BinarySearchFunc(s.classes, entry.Priority, func(c *class[T], priority int) int { return priority - c.priority })
	if !ok {
		s.classes = slices.Insert(s.classes, at, &class[T]{priority: entry.Priority, byName: map[string]*lane[T]{}})
	}
	c := s.classes[at]
	l, ok := c.byName[entry.Account]
	if !ok {
		l = &lane[T]{class: c, account: entry.Account}
		c.byName[entry.Account] = l
		c.lanes = append(c.lanes, l)
	}
	return l
}

func (s *Scheduler[T]) count(l *lane[T], tokens int) {
	l.waiting += tokens
	l.class.waiting += tokens
	s.waiting += tokens
}

func (s *Scheduler[T]) dropLane(l *lane[T]) {
	c := l.class
	at := slices.Index(c.lanes, l)
	c.lanes = slices.Delete(c.lanes, at, at+1)
	delete(c.byName, l.account)
	switch {
	case at < c.turn:
		c.turn--
	case at == c.turn:
		c.credited = false
	}
	if c.turn >= len(c.lanes) {
		c.turn = 0
	}
	if len(c.lanes) == 0 {
		s.classes = slices.DeleteFunc(s.classes, func(other *class[T]) bool { return other == c })
	}
}

// pass gives the turn to the next lane.
func (c *class[T]) pass() {
	c.turn = (c.turn + 1) % len(c.lanes)
	c.credited = false
}

// skipRounds adds the quanta of all the rounds in which no lane could be served.
func (c *class[T]) skipRounds(quantum int) {
	rounds := -1
	for _, l := range c.lanes {
		missing := (l.tickets[0].Entry.Tokens - l.deficit + quantum - 1) / quantum
		if rounds < 0 || missing-1 < rounds {
			rounds = max(missing-1, 0)
		}
	}
	for _, l := range c.lanes {
		l.deficit += rounds * quantum
	}
}

// ahead returns the tokens that round robin serves before the entry.
func (c *class[T]) ahead(entry Entry) int {
	own := 0
	if l, ok := c.byName[entry.Account]; ok {
		own = l.waiting
	}
	ahead := own
	for _, l := range c.lanes {
		if l.account != entry.Account {
			ahead += min(l.waiting, own+entry.Tokens)
		}
	}
	return ahead
}
