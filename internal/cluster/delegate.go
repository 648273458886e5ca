package cluster

import (
	"slices"

	"github.com/hashicorp/memberlist"
)

// delegate receives memberlist's callbacks. None of them may block.
type delegate struct{ node *Node }

// NodeMeta returns no metadata.
func (d *delegate) NodeMeta(int) []byte { return nil }

// GetBroadcasts returns none: the node sends its messages itself.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: only memberlist's own state is exchanged.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, since LocalState returns nothing.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyMsg queues a message from a peer, or drops it if the queue is full.
func (d *delegate) NotifyMsg(data []byte) {
	select {
	case d.node.inbox <- slices.Clone(data):
	default:
		d.node.droppedMessages.Add(1)
	}
}

// NotifyJoin records that an instance is alive.
func (d *delegate) NotifyJoin(member *memberlist.Node) { d.node.members.add(member) }

// NotifyUpdate records an instance's new address.
func (d *delegate) NotifyUpdate(member *memberlist.Node) { d.node.members.add(member) }

// NotifyLeave records that an instance has left or was found dead.
func (d *delegate) NotifyLeave(member *memberlist.Node) { d.node.members.remove(member.Name) }

// NotifyAlive is called for each instance that announces itself. An instance with this instance's
// name and another address runs from a copy of this instance's folder, or was started while this
// process stalled. If both responded as one acceptor, neither would know which leases the other has
// granted. Therefore the instance that detects the other one stops granting. An instance that joins
// detects the other one while it joins. The one that was there before may not detect it, because the
// other members reject the address of the instance that joins.
func (d *delegate) NotifyAlive(member *memberlist.Node) error {
	if member.Name != d.node.members.self || member.Address() == d.node.members.advertised {
		return nil
	}
	d.node.log.Error("duplicate instance name, granting no key leases until recovered",
		"name", member.Name, "address", member.Address())
	select {
	case d.node.tasks <- d.node.recoverFromDuplicate:
	default: // the queue is full; memberlist will announce the instance again
	}
	return nil
}
