// Package lease implements the executor leases of failure domains: a Granter on the leader of the control log grants and renews them, a
// Holder on each node tracks the one that the node holds. A lease is valid for one failure domain and carries a fencing token.
package lease
