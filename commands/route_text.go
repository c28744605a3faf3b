package commands

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"celerylanding.example/celerylanding/preview"
)

// printRoute writes the answer for people: the outcome first, then what it follows from.
func printRoute(out io.Writer, answer *preview.Answer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows := []string{outcomeRow(answer)}
	router := fmt.Sprintf("router\t%s in %s, configuration %s, leader's last answer %s ago", answer.Node, answer.Domain, versionOf(answer), seconds(answer.ViewAgeSeconds))
	if answer.IsDraining {
		router += ", stops"
	}
	rows = append(rows, router)
	if route := answer.Route; route != nil {
		rows = append(rows, routeRow(route), unitRow(answer))
	}
	rows = append(rows, accessRows(answer.Workspace)...)
	if load := answer.Load; load != nil {
		rows = append(rows, loadRow(load))
	}
	if len(answer.Targets) > 0 {
		rows = append(rows, "", "RANK\tTARGET\tDOMAIN\tSHARE\tFIRST EVENT\tTO READ\tLOSS\tOF\tLOAD\tAGE\tHERE\tEXCLUDED")
	}
	for i := range answer.Targets {
		rows = append(rows, targetRow(&answer.Targets[i]))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}

func versionOf(answer *preview.Answer) string {
	if answer.Version == 0 {
		return "not known"
	}
	return fmt.Sprint(answer.Version)
}

// seconds formats a time with a resolution that people can read.
func seconds(value float64) string {
	length := time.Duration(value * float64(time.Second))
	if length > time.Minute {
		return length.Round(time.Second).String()
	}
	return length.Round(time.Millisecond).String()
}

// mostOf is the share from which a target is named as the only one.
const mostOf = 0.995

func outcomeRow(answer *preview.Answer) string {
	switch answer.Outcome {
	case preview.OutcomeSent:
		if len(answer.Targets) > 0 && answer.Targets[0].Share < mostOf {
			return fmt.Sprintf("outcome\tsent, to %s in %.0f of 100 cases", answer.Target, 100*answer.Targets[0].Share)
		}
		return "outcome\tsent to " + string(answer.Target)
	case preview.OutcomeWaits:
		return "outcome\twaits: " + waitTexts[answer.WaitsFor]
	}
	refusal := answer.Refusal
	if refusal == nil {
		return "outcome\t" + string(answer.Outcome)
	}
	row := fmt.Sprintf("outcome\trefused with %d %s: %s", refusal.Status, refusal.Reason, refusal.Cause)
	switch {
	case refusal.RetryAfterSeconds <= 0:
		return row + "; no Retry-After"
	case refusal.RetrySpreadSeconds > 0:
		return row + fmt.Sprintf("; Retry-After %.2f to %.2f", refusal.RetryAfterSeconds, refusal.RetryAfterSeconds+refusal.RetrySpreadSeconds)
	}
	return row + fmt.Sprintf("; Retry-After %.2f", refusal.RetryAfterSeconds)
}

var waitTexts = map[preview.WaitFor]string{
	preview.WaitForConfiguration: "this router has no configuration yet",
	preview.WaitForProof:         "a router that has just started or stood still expects word that its keys are current",
	preview.WaitForQuota:         "the leader would be asked for more of the workspace's quota",
	preview.WaitForOrigin:        "the leader would be asked which software began the stream",
	preview.WaitForTrial:         "copies of the request have ended with their targets; the leader lets one run at a time",
	preview.WaitForLimit:         "the targets have reached the limits that they announce",
	preview.WaitForLoad:          "no usable target has the model; the leader would be asked to load it",
}

func routeRow(route *preview.Route) string {
	row := fmt.Sprintf("route\t%s (%s%s, %s), objective %s, time left %s", route.Name, route.Host, route.Prefix, route.Kind,
		seconds(route.ObjectiveSeconds), seconds(route.TimeoutSeconds))
	if route.IsPublic {
		row += ", needs no key"
	}
	return row
}

func unitRow(answer *preview.Answer) string {
	row := "service\t" + string(answer.Service)
	if shares := answer.Route.Shares; len(shares) > 1 {
		var texts []string
		for _, share := range shares {
			texts = append(texts, fmt.Sprintf("%s %d", share.Service, share.Weight))
		}
		row += " for this request ID, of " + strings.Join(texts, ", ")
	}
	if answer.Unit != "" {
		row += ", model " + answer.Unit
	}
	if answer.IsUnknownModel {
		row += ", which the configuration lacks"
	}
	return row
}

func accessRows(workspace *preview.Workspace) []string {
	if workspace == nil {
		return []string{"workspace\tthe configuration has none; callers need no key"}
	}
	name := "none, no key"
	switch {
	case workspace.Name != "" && !workspace.IsKnown:
		name = string(workspace.Name) + ", which the configuration lacks"
	case workspace.Name != "" && !workspace.HasKeys:
		name = string(workspace.Name) + ", which has no keys"
	case workspace.Name != "":
		name = string(workspace.Name)
	}
	rows := []string{fmt.Sprintf("workspace\t%s; urgency %d of %d", name, workspace.Rank+1, workspace.Classes), proofRow(workspace)}
	quota := workspace.Quota
	if quota == nil {
		return rows
	}
	row := fmt.Sprintf("quota\t%.4g %s held here, %.4g waited for, %.4g needed; %.4g/s and %.4g at once over all routers", quota.Held, quota.Unit,
		quota.Queued, quota.Cost, quota.Rate, quota.Burst)
	if quota.GrantedRate > 0 {
		row += fmt.Sprintf("; short: %.4g/s granted here, more in %s", quota.GrantedRate, seconds(quota.ReadySeconds))
	}
	if quota.FailedCalls > 0 {
		row += fmt.Sprintf("; the leader has not answered %d calls", quota.FailedCalls)
	}
	return append(rows, row)
}

func proofRow(workspace *preview.Workspace) string {
	bound := "accepted without a proof"
	if workspace.MaxProofAgeSeconds > 0 {
		bound = "accepted up to " + seconds(workspace.MaxProofAgeSeconds)
	}
	if !workspace.HasProof {
		return "keys\tnot proven to be current; " + bound
	}
	return fmt.Sprintf("keys\tproven %s ago; %s", seconds(workspace.ProofAgeSeconds), bound)
}

func loadRow(load *preview.Load) string {
	row := fmt.Sprintf("load\t%d requests wait here", load.Waiting)
	switch {
	case load.IsInfeasible:
		row += fmt.Sprintf("; leader, %s ago: can't be loaded in time, %s", seconds(load.AnswerAgeSeconds), load.Cause)
	case load.HasAnswer:
		row += fmt.Sprintf("; leader, %s ago: loaded within %s", seconds(load.AnswerAgeSeconds), seconds(load.ExpectedSeconds))
	}
	if load.FailedCalls > 0 {
		row += fmt.Sprintf("; the leader has not answered %d calls", load.FailedCalls)
	}
	return row
}

// smallestTerm is the smallest part of a loss that is printed.
const smallestTerm = 0.005

func targetRow(target *preview.Target) string {
	rank, load, age := "-", "not reported", ""
	if target.Rank > 0 {
		rank = fmt.Sprint(target.Rank)
	}
	if target.HasReport {
		load, age = fmt.Sprintf("%d+%d of %d", target.Running, target.Waiting, target.Slots), seconds(target.ReportAgeSeconds)
		if target.Slowdown > 0 {
			load += fmt.Sprintf(", x%.2f", target.Slowdown)
		}
	}
	var terms []string
	for _, term := range target.Terms {
		if term.Value >= smallestTerm {
			terms = append(terms, fmt.Sprintf("%s %.2f", term.Name, term.Value))
		}
	}
	excluded := string(target.Excluded)
	if target.ExcludedSeconds > 0 {
		excluded += " for " + seconds(target.ExcludedSeconds)
	}
	if target.HasLimit {
		excluded = strings.TrimSpace(fmt.Sprintf("%s (limit %.4g/s)", excluded, target.Limit))
	}
	return fmt.Sprintf("%s\t%s\t%s\t%.0f%%\t%s\t%d\t%.2f\t%s\t%s\t%s\t%d\t%s", rank, target.ID, target.Domain, 100*target.Share,
		seconds(target.ExpectedFirstSeconds), target.ReadTokens, target.Loss, strings.Join(terms, ", "), load, age, target.InFlight, excluded)
}
