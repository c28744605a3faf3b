package control

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

// recordTargets records reports about the targets that announce limits on requests, and about brittle ones.
func (ctl *Control) recordTargets(now time.Time, args *feed.WatchArgs) {
	for _, report := range args.Limits {
		ctl.recordLimit(now, report)
	}
	for _, report := range args.Brittle {
		if ctl.brittle.Add(now, report) {
			ctl.feed.brittleAt = time.Time{}
			ctl.feed.advance()
		}
	}
}

// publishedBrittle returns the brittle targets with the figures of all routers, on the leader.
func (ctl *Control) publishedBrittle(now time.Time) []feed.BrittleTarget {
	if now.Sub(ctl.feed.brittleAt) >= limitsInterval {
		ctl.feed.brittle, ctl.feed.brittleAt = ctl.brittle.Brittle(now), now
	}
	return ctl.feed.brittle
}

// brittleTotal is the sum of the routers' figures for a brittle target, with what its latest answer said.
type brittleTotal struct {
	feed.BrittleReport
	answeredAt time.Time
}

// addBrittle adds a router's figures for a brittle target, and keeps the latest of the answers.
func (reports *relayReports) addBrittle(now time.Time, report feed.BrittleReport) {
	key := limitKey{report.Target, report.Incarnation}
	total := reports.brittle[key]
	if total == nil {
		total = &brittleTotal{BrittleReport: feed.BrittleReport{Target: report.Target, Incarnation: report.Incarnation, Service: report.Service}}
		reports.brittle[key] = total
	}
	total.Wanted += report.Wanted
	total.Sent += report.Sent
	total.Rejected += report.Rejected
	if at := now.Add(-report.Age); report.IsAnswered && !at.Before(total.answeredAt) {
		total.IsAnswered, total.IsBrittle, total.Tolerance, total.answeredAt = true, report.IsBrittle, report.Tolerance, at
	}
}

// takeBrittle returns the figures since the last call with the age of the answers.
func (reports *relayReports) takeBrittle(now time.Time) []feed.BrittleReport {
	var list []feed.BrittleReport
	for _, total := range reports.brittle {
		if total.IsAnswered {
			total.Age = now.Sub(total.answeredAt)
		}
		list = append(list, total.BrittleReport)
	}
	clear(reports.brittle)
	return list
}
