package lrframe

import (
	"math"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

const (
	// minLineBytes is the size of the shortest header line, a name of one letter without a value.
	minLineBytes = 4
	// allotmentBytes is the memory of each connection that is not charged to the budget. A request with 30 header lines of 60 bytes stays
	// below it, also with a body of 2 KB.
	allotmentBytes = 16 << 10
	// connectionBytes is the memory that a connection needs at most within its allotment, with the buffers and stacks of net/http.
	connectionBytes = 64 << 10
	// connectionMemoryShare divides the memory of the machine: that part is for connections within their allotment.
	connectionMemoryShare = 4
	// otherDescriptors are the descriptors that are not for callers and backend servers: listeners, the store and other instances.
	otherDescriptors = 64
	// descriptorsPerConnection are one for the caller and one for the backend server that answers it.
	descriptorsPerConnection = 2
	// minConnections is the least bound of connections that is derived.
	minConnections = 16
)

// Limits bound what the clients of a process may hold.
type Limits struct {
	MaxHeaderBytes int
	// MaxHeaderLines bounds the header lines of a request. Zero means as many as MaxHeaderBytes can hold.
	MaxHeaderLines int
	// MaxConnections bounds the connections of a listener. Zero means no bound.
	MaxConnections int
	// BodyTimeout bounds how long the body of a request may take to arrive. Zero means no bound.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a client may take to receive the next bytes of an answer, and StallTimeout how long it may receive none of
	// them. If one of the two is zero, neither applies.
	WriteTimeout time.Duration
	StallTimeout time.Duration
	// Memory is the budget for heads and bodies. Nil means no bound.
	Memory *lrmemory.Budget
	// EncodeRefusal returns the JSON body of a refusal that is written before a handler runs. Nil means the message of the refusal.
	EncodeRefusal func(refusal *lrerror.Error) []byte
}

// withDefaults returns the limits with the values that are derived.
func (l Limits) withDefaults() Limits {
	if l.Memory == nil {
		l.Memory = lrmemory.NewBudget(math.MaxInt)
	}
	if l.EncodeRefusal == nil {
		l.EncodeRefusal = func(refusal *lrerror.Error) []byte { return []byte(refusal.Message()) }
	}
	return l
}

// ConnectionsFor returns the number of callers' connections for which the descriptors and the memory of a machine suffice. Zero memory means
// that it is unknown.
func ConnectionsFor(descriptors, memoryBytes int) int {
	connections := (descriptors - otherDescriptors) / descriptorsPerConnection
	if memoryBytes > 0 {
		connections = min(connections, memoryBytes/connectionMemoryShare/connectionBytes)
	}
	return max(connections, minConnections)
}
