package routing

import "slices"

// ranks orders requests by the priority of their workspace, then by that of their route.
type ranks struct {
	// workspaces and routes are the priorities that occur, in order.
	workspaces []int
	routes     []int
}

func newRanks(configuration *Configuration) ranks {
	var order ranks
	for i := range configuration.Workspaces {
		order.workspaces = append(order.workspaces, configuration.Workspaces[i].Priority)
	}
	for i := range configuration.Routes {
		order.routes = append(order.routes, configuration.Routes[i].Priority)
	}
	for _, list := range []*[]int{&order.workspaces, &order.routes} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return order
}

// Rank returns the place of a request among the count classes of urgency that the configuration knows; 0 is the most urgent. The workspace's
// priority goes before the route's. A caller without a workspace, which is nil, comes with the least urgent workspaces.
func (table *Table) Rank(workspace *Workspace, route *Route) (rank, count int) {
	order := &table.ranks
	width := max(1, len(order.routes))
	count = width * max(1, len(order.workspaces))
	byRoute, _ := slices.BinarySearch(order.routes, route.Priority)
	byWorkspace := max(0, len(order.workspaces)-1)
	if workspace != nil {
		byWorkspace, _ = slices.BinarySearch(order.workspaces, workspace.Priority)
	}
	return min(byWorkspace*width+min(byRoute, width-1), count-1), count
}
