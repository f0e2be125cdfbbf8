// Package lrclients holds the clients of a process within the limits of its settings and of its machine. Both interfaces for callers use it.
package lrclients

import (
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	megabyte = 1 << 20
	// operatorConnections bounds the connections of a port for operators and metrics collectors.
	operatorConnections = 64
	// collectorShare is the part of the machine's memory at which the garbage collector works harder. The rest is for what it does not
	// manage: the program's text, stacks and the kernel's buffers.
	collectorShare = 0.8
	// MostHeaderBytes is the size up to which a configuration can raise the limit of request heads.
	MostHeaderBytes = megabyte
)

// Clients are the limits of all clients of a process.
type Clients struct {
	memory    *lrmemory.Budget
	callers   *lrframe.Gate
	operators *lrframe.Gate
	stats     *lrframe.Stats
	server    lrsettings.Server
}

// New returns the limits that follow from the settings. The function encodes refusals for callers.
func New(settings lrsettings.Settings, encodeRefusal func(*lrerror.Error) []byte, log zerolog.Logger) *Clients {
	s := settings.Server
	limits := lrframe.Limits{
		MaxHeaderBytes: s.MaxHeaderBytes, MaxHeaderLines: s.MaxHeaderLines, MaxConnections: maxConnections(settings), BodyTimeout: s.BodyTimeout,
		WriteTimeout: s.WriteTimeout, StallTimeout: s.StallTimeout, Memory: lrmemory.NewBudget(s.MaxHeldBytes), EncodeRefusal: encodeRefusal,
	}
	operators := limits
	operators.MaxConnections = operatorConnections
	stats := lrframe.NewStats(log)
	return &Clients{memory: limits.Memory, callers: lrframe.NewGate(limits, stats), operators: lrframe.NewGate(operators, stats), stats: stats, server: s}
}

// maxConnections returns the bound of callers' connections: that of the settings, or what the machine suffices for.
func maxConnections(settings lrsettings.Settings) int {
	if settings.Server.MaxConnections > 0 {
		return settings.Server.MaxConnections
	}
	return lrframe.ConnectionsFor(descriptors(settings.Instance.MaxDescriptors), int(settings.Instance.MemoryMB*megabyte))
}

// descriptors returns the most descriptors that the process may open: the limit of the process, or that of the settings if it is less.
func descriptors(limit int) int {
	var process syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &process)
	most := math.MaxInt
	if err == nil && process.Cur < math.MaxInt {
		most = int(process.Cur)
	}
	if limit > 0 {
		most = min(most, limit)
	}
	return most
}

// LimitHeap makes the garbage collector keep the process within the memory of its machine, if the settings name it.
func LimitHeap(settings lrsettings.Instance) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB * megabyte * collectorShare))
	}
}

// Memory returns the budget for heads, bodies and answers.
func (c *Clients) Memory() *lrmemory.Budget { return c.memory }

// CallersListener returns the listener for callers, which holds them within the limits.
func (c *Clients) CallersListener(l net.Listener) net.Listener { return c.callers.Listener(l) }

// OperatorsListener returns a listener for operators, which holds them within the limits.
func (c *Clients) OperatorsListener(l net.Listener) net.Listener { return c.operators.Listener(l) }

// RaiseHeaderBytes accepts heads of callers' requests of up to the given size, if that is above the setting, and of up to MostHeaderBytes.
func (c *Clients) RaiseHeaderBytes(bytes int) {
	c.callers.RaiseMaxHeaderBytes(min(bytes, MostHeaderBytes))
}

// CallersServer returns a server for connections of CallersListener. The caller may set further fields.
func (c *Clients) CallersServer(handler http.Handler) *http.Server {
	return c.newServer(c.callers, handler)
}

// OperatorsServer returns a server for connections of OperatorsListener.
func (c *Clients) OperatorsServer(handler http.Handler) *http.Server {
	return c.newServer(c.operators, handler)
}

func (c *Clients) newServer(gate *lrframe.Gate, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: gate.Handler(handler), ReadHeaderTimeout: c.server.HeaderTimeout, IdleTimeout: c.server.IdleTimeout,
		MaxHeaderBytes: c.server.MaxHeaderBytes, ConnContext: lrframe.ConnContext, ConnState: gate.ConnState,
	}
}

// Collectors returns the metrics of the limits.
func (c *Clients) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		c.stats,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lavenderrouter_clients_connections", Help: "Open connections of callers.",
		}, func() float64 { return float64(c.callers.Connections()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lavenderrouter_clients_free_bytes", Help: "Bytes that requests and answers may still hold, see maxHeldBytes.",
		}, func() float64 { return float64(c.memory.Available()) }),
	}
}
