package lrmember

// A Message is one half of an exchange between two members.
type Message struct {
	Sender Member
	// Records are news of other members.
	Records []Member
	// Digest is a hash of all live members that the sender knows. Equal digests mean equal knowledge.
	Digest uint64
	// WantsAll asks for everything that the other side knows.
	WantsAll bool
}
