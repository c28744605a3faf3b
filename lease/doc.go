// Package lease implements the executor leases of failure domains: a Granter on the leader of the control log grants and renews leases, and
// a Holder tracks a node's lease for one failure domain. Each lease carries a fencing token.
package lease
