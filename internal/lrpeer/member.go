// Package lrpeer joins the instances of the daemon to one another over gRPC.
package lrpeer

// A Member is one live instance of the daemon.
type Member struct {
	Name        string
	Zone        string
	PeerAddress string
	// Incarnation rises with each start of the process under this name.
	Incarnation uint64
	// Heartbeat rises while the instance lives.
	Heartbeat     uint64
	Leaving       bool
	ConfigVersion uint64
}

// A Roster tells which instances are alive.
type Roster interface {
	// Self returns the member that this process is.
	Self() Member
	// Members returns the live members, this process among them, ordered by name.
	Members() []Member
}
