package lrmember

// A Message is the request or the reply of an exchange between two members.
type Message struct {
	Sender Member
	// Records are updates about other members.
	Records []Member
	// Digest is a hash of all live members that the sender knows. Equal digests mean equal member lists.
	Digest uint64
	// FullSync in a request asks the receiver for all its records. In a reply it means that all records of the sender
	// are included.
	FullSync bool
}
