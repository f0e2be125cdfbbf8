package lrpeer

import (
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

func encodeMember(m Member) *lrpeerpb.Member {
	return &lrpeerpb.Member{
		Name: m.Name, Zone: m.Zone, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat,
		Leaving: m.Leaving, ConfigVersion: m.ConfigVersion, State: uint32(m.State),
	}
}

func decodeMember(m *lrpeerpb.Member) Member {
	return Member{
		Name: m.GetName(), Zone: m.GetZone(), PeerAddress: m.GetPeerAddress(), Incarnation: m.GetIncarnation(),
		Heartbeat: m.GetHeartbeat(), Leaving: m.GetLeaving(), ConfigVersion: m.GetConfigVersion(),
		State: lrmember.State(min(m.GetState(), uint32(lrmember.Dead))),
	}
}

func encodeMembers(members []Member) []*lrpeerpb.Member {
	encoded := make([]*lrpeerpb.Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, encodeMember(m))
	}
	return encoded
}

func decodeMembers(members []*lrpeerpb.Member) []Member {
	decoded := make([]Member, 0, len(members))
	for _, m := range members {
		decoded = append(decoded, decodeMember(m))
	}
	return decoded
}

func encodeRequest(m lrmember.Message, updates []ServerUpdate) *lrpeerpb.ExchangeRequest {
	return &lrpeerpb.ExchangeRequest{
		Sender: encodeMember(m.Sender), Members: encodeMembers(m.Records), Digest: m.Digest, WantsAll: m.FullSync,
		Servers: encodeUpdates(updates),
	}
}

func decodeRequest(r *lrpeerpb.ExchangeRequest) lrmember.Message {
	return lrmember.Message{
		Sender: decodeMember(r.GetSender()), Records: decodeMembers(r.GetMembers()), Digest: r.GetDigest(), FullSync: r.GetWantsAll(),
	}
}

func encodeReply(m lrmember.Message, updates []ServerUpdate) *lrpeerpb.ExchangeReply {
	return &lrpeerpb.ExchangeReply{
		Sender: encodeMember(m.Sender), Members: encodeMembers(m.Records), Digest: m.Digest, WantsAll: m.FullSync,
		Servers: encodeUpdates(updates),
	}
}

func decodeReply(r *lrpeerpb.ExchangeReply) lrmember.Message {
	return lrmember.Message{
		Sender: decodeMember(r.GetSender()), Records: decodeMembers(r.GetMembers()), Digest: r.GetDigest(), FullSync: r.GetWantsAll(),
	}
}

func encodeUpdates(updates []ServerUpdate) []*lrpeerpb.ServerNotice {
	encoded := make([]*lrpeerpb.ServerNotice, 0, len(updates))
	for _, n := range updates {
		encoded = append(encoded, &lrpeerpb.ServerNotice{
			Name: n.Name, Leaving: n.Leaving, Incarnation: n.Incarnation, QueuedTokens: n.QueuedTokens,
		})
	}
	return encoded
}

func decodeUpdates(updates []*lrpeerpb.ServerNotice) []ServerUpdate {
	decoded := make([]ServerUpdate, 0, len(updates))
	for _, n := range updates {
		decoded = append(decoded, ServerUpdate{
			Name: n.GetName(), Leaving: n.GetLeaving(), Incarnation: n.GetIncarnation(), QueuedTokens: n.GetQueuedTokens(),
		})
	}
	return decoded
}
