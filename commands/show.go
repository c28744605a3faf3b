package commands

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/dustin/go-humanize"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/node"
)

// printShow writes the tables of nodes, targets and models.
func printShow(out io.Writer, reply node.ShowReply) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var rows []string
	if reply.Revision == 0 {
		rows = append(rows, "no configuration is in force")
	} else {
		rows = append(rows, fmt.Sprintf("site %s, revision %d, digest %s", reply.Site, reply.Revision, reply.Digest))
	}
	rows = append(rows, "", "NODE\tDOMAIN\tSTATE\tROLE\tTERM\tREVISION IN FORCE\tDIGEST")
	for _, status := range reply.Nodes {
		if status.Error != "" {
			rows = append(rows, "?\t\tno answer\t\t\t\t"+status.Error)
			continue
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%s", status.Node, status.Domain, status.State,
			status.Role, status.Term, status.Revision, status.Digest))
	}
	rows = append(rows, "", "TARGET\tDOMAIN\tGROUP\tROLE\tSTATE\tMEMORY\tRESERVED\tREPLICAS")
	for _, target := range reply.Targets {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d", target.Target, target.Domain, target.Group,
			target.Role, target.State, formatBytes(target.Memory), formatBytes(target.ReservedBytes), target.Replicas))
	}
	rows = append(rows, "", "MODEL\tREPLICAS\tDECIDED\tREASON")
	for _, model := range reply.Models {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d to %d\t%s", model.Model, formatReplicas(model), model.Min, model.Max, model.Reason))
	}
	if len(reply.Workspaces) > 0 {
		rows = append(rows, "")
		rows = append(rows, workspaceRows(reply.Workspaces)...)
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}

// workspaceRows returns the table of workspaces.
func workspaceRows(list []node.WorkspaceStatus) []string {
	rows := []string{"WORKSPACE\tKEYS\tPRIORITY\tQUOTA"}
	for _, workspace := range list {
		quota := "unlimited"
		if workspace.Rate > 0 {
			quota = fmt.Sprintf("%g %s/s, burst %g", workspace.Rate, workspace.Unit, workspace.Burst)
		}
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s", workspace.Workspace, workspace.Keys, workspace.Priority, quota))
	}
	return rows
}

func formatBytes(bytes celerylanding.Bytes) string { return humanize.IBytes(uint64(bytes)) }

func formatReplicas(model node.ModelStatus) string {
	if len(model.Replicas) == 0 {
		return "none"
	}
	texts := make([]string, 0, len(model.Replicas))
	for _, replica := range model.Replicas {
		texts = append(texts, fmt.Sprintf("%s (%s)", replica.Target, replica.State))
	}
	return strings.Join(texts, ", ")
}
