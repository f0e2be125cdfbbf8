package lrqueue

import "slices"

// A Ticket is one entry in a Scheduler.
type Ticket[T any] struct {
	Entry Entry
	Value T
	queue *accountQueue[T]
}

// A Scheduler orders waiting entries: the highest priority first, and within a priority by deficit round robin over the
// client accounts. In each round an account may send as many tokens as its deficit counter, which grows by the quantum per
// round, allows. It is not safe for use by several goroutines.
type Scheduler[T any] struct {
	quantum int
	// classes are ordered by descending priority. None is empty.
	classes []*priorityClass[T]
	waiting int
}

// priorityClass holds the account queues of one priority.
type priorityClass[T any] struct {
	priority  int
	queues    []*accountQueue[T]
	byAccount map[string]*accountQueue[T]
	// current is the index of the queue that is being served. quantumAdded is set once its deficit has grown by this round's
	// quantum.
	current      int
	quantumAdded bool
	waiting      int
}

// accountQueue holds the tickets of one client account in one priority class.
type accountQueue[T any] struct {
	class   *priorityClass[T]
	account string
	tickets []*Ticket[T]
	deficit int
	waiting int
}

// NewScheduler returns an empty Scheduler that gives each client account quantum tokens per round.
func NewScheduler[T any](quantum int) *Scheduler[T] {
	return &Scheduler[T]{quantum: max(quantum, 1)}
}

// Waiting returns the tokens of all waiting entries.
func (s *Scheduler[T]) Waiting() int { return s.waiting }

// NextPriority returns the priority of the next ticket. It reports false when no ticket waits.
func (s *Scheduler[T]) NextPriority() (int, bool) {
	if len(s.classes) == 0 {
		return 0, false
	}
	return s.classes[0].priority, true
}

// Push adds an entry behind the others of its client account.
func (s *Scheduler[T]) Push(entry Entry, value T) *Ticket[T] {
	l := s.queueFor(entry)
	ticket := &Ticket[T]{Entry: entry, Value: value, queue: l}
	l.tickets = append(l.tickets, ticket)
	s.addWaiting(l, entry.Tokens)
	return ticket
}

// Pop removes and returns the next ticket. It reports false when no ticket waits.
func (s *Scheduler[T]) Pop() (*Ticket[T], bool) {
	if len(s.classes) == 0 {
		return nil, false
	}
	c := s.classes[0]
	for visits := 0; ; visits++ {
		l := c.queues[c.current]
		if !c.quantumAdded {
			l.deficit += s.quantum
			c.quantumAdded = true
		}
		head := l.tickets[0]
		if head.Entry.Tokens <= l.deficit {
			l.deficit -= head.Entry.Tokens
			s.Remove(head)
			return head, true
		}
		c.next()
		if visits > 0 && visits%len(c.queues) == 0 {
			c.skipRounds(s.quantum)
		}
	}
}

// Remove removes a ticket. It reports false when the ticket does not wait any more.
func (s *Scheduler[T]) Remove(ticket *Ticket[T]) bool {
	l := ticket.queue
	if l == nil {
		return false
	}
	ticket.queue = nil
	at := slices.Index(l.tickets, ticket)
	if at == 0 {
		l.tickets[0] = nil
		l.tickets = l.tickets[1:]
	} else {
		l.tickets = slices.Delete(l.tickets, at, at+1)
	}
	s.addWaiting(l, -ticket.Entry.Tokens)
	if len(l.tickets) == 0 {
		s.dropQueue(l)
	}
	return true
}

// Ahead estimates the tokens that would be served before an entry that is pushed now.
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

// EvictionCandidate returns the ticket to refuse in favor of the entry: in the lowest priority, the newest ticket of the
// account with the most waiting tokens. It reports false when the entry itself should be refused.
func (s *Scheduler[T]) EvictionCandidate(entry Entry) (*Ticket[T], bool) {
	if len(s.classes) == 0 {
		return nil, false
	}
	c := s.classes[len(s.classes)-1]
	largest := slices.MaxFunc(c.queues, func(a, b *accountQueue[T]) int { return a.waiting - b.waiting })
	own := entry.Tokens
	if l, ok := c.byAccount[entry.Account]; ok {
		own += l.waiting
	}
	if c.priority > entry.Priority || c.priority == entry.Priority && largest.waiting <= own {
		return nil, false
	}
	return largest.tickets[len(largest.tickets)-1], true
}

func (s *Scheduler[T]) queueFor(entry Entry) *accountQueue[T] {
	at, ok := slices.BinarySearchFunc(s.classes, entry.Priority, func(c *priorityClass[T], priority int) int { return priority - c.priority })
	if !ok {
		s.classes = slices.Insert(s.classes, at, &priorityClass[T]{priority: entry.Priority, byAccount: map[string]*accountQueue[T]{}})
	}
	c := s.classes[at]
	l, ok := c.byAccount[entry.Account]
	if !ok {
		l = &accountQueue[T]{class: c, account: entry.Account}
		c.byAccount[entry.Account] = l
		c.queues = append(c.queues, l)
	}
	return l
}

func (s *Scheduler[T]) addWaiting(l *accountQueue[T], tokens int) {
	l.waiting += tokens
	l.class.waiting += tokens
	s.waiting += tokens
}

func (s *Scheduler[T]) dropQueue(l *accountQueue[T]) {
	c := l.class
	at := slices.Index(c.queues, l)
	c.queues = slices.Delete(c.queues, at, at+1)
	delete(c.byAccount, l.account)
	switch {
	case at < c.current:
		c.current--
	case at == c.current:
		c.quantumAdded = false
	}
	if c.current >= len(c.queues) {
		c.current = 0
	}
	if len(c.queues) == 0 {
		s.classes = slices.DeleteFunc(s.classes, func(other *priorityClass[T]) bool { return other == c })
	}
}

// next moves on to the next account queue.
func (c *priorityClass[T]) next() {
	c.current = (c.current + 1) % len(c.queues)
	c.quantumAdded = false
}

// skipRounds adds the quanta of all the rounds in which no queue could be served.
func (c *priorityClass[T]) skipRounds(quantum int) {
	rounds := -1
	for _, l := range c.queues {
		missing := (l.tickets[0].Entry.Tokens - l.deficit + quantum - 1) / quantum
		if rounds < 0 || missing-1 < rounds {
			rounds = max(missing-1, 0)
		}
	}
	for _, l := range c.queues {
		l.deficit += rounds * quantum
	}
}

// ahead estimates the tokens that the round robin serves before the entry: the account's own queue, and of every other
// account at most as many as the entry's account needs itself.
func (c *priorityClass[T]) ahead(entry Entry) int {
	own := 0
	if l, ok := c.byAccount[entry.Account]; ok {
		own = l.waiting
	}
	ahead := own
	for _, l := range c.queues {
		if l.account != entry.Account {
			ahead += min(l.waiting, own+entry.Tokens)
		}
	}
	return ahead
}
