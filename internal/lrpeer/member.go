// Package lrpeer connects the instances of the router with one another over gRPC.
//
// Membership is a gossip protocol: at each interval an instance exchanges heartbeats with a few members, and every
// message also carries updates about members and backend servers. An urgent update starts a round at once. Listing
// distributes the platform's list of instances: a few readers in each zone read it from the platform, the other
// instances fetch it from them.
package lrpeer

import "github.com/lavenderrouter/lavenderrouter/pkg/lrmember"

// A Member is one instance of the router, as the gossip protocol knows it.
type Member = lrmember.Member

// A MemberSource returns the instances that are alive.
type MemberSource interface {
	// Self returns this instance.
	Self() Member
	// Members returns the live members including this instance, ordered by name.
	Members() []Member
}
