package node

// PeerTraffic counts the bytes and frames that a node has exchanged with other nodes since it started.
type PeerTraffic struct {
	BytesIn   int64
	BytesOut  int64
	FramesOut int64
	BadFrames int64
}

// PeerTraffic returns the traffic counters of the peer connections.
func (node *Node) PeerTraffic() PeerTraffic {
	return PeerTraffic{
		BytesIn:   node.counters.BytesIn.Load(),
		BytesOut:  node.counters.BytesOut.Load(),
		FramesOut: node.counters.FramesOut.Load(),
		BadFrames: node.counters.BadFrames.Load(),
	}
}

// Revision returns the number of the configuration that the gateway uses, or zero before the first one.
func (node *Node) Revision() uint64 {
	if config := node.dispatcher.View().Config; config != nil {
		return config.Revision()
	}
	return 0
}
