package forecast_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
)

var start = time.Unix(1_700_000_000, 0)

func report(running, waiting int, slowdown float64) forecast.Report {
	return forecast.Report{Load: celerylanding.TargetLoad{Running: running, Waiting: waiting, Slowdown: slowdown}, Slots: 10}
}

func expect(now time.Time, target *forecast.Target, size forecast.Size) forecast.Outlook {
	var outlook forecast.Outlook
	target.Expect(now, size, 1, &outlook)
	return outlook
}

// TestSlowMachineIsToldFromCrowdedOne guards against a machine that is taken for slow because others crowd it, and the reverse: the crowd passes within
// seconds, the machine stays as it is.
func TestSlowMachineIsToldFromCrowdedOne(t *testing.T) {
	service := forecast.NewService()
	usual, slow, crowded := service.NewTarget(10), service.NewTarget(10), service.NewTarget(10)
	size := forecast.NewSize(2000, 100)
	now := start
	for range 30 {
		now = now.Add(300 * time.Millisecond)
		usual.Report(now, report(2, 0, 1))
		slow.Report(now, report(2, 0, 3))
		crowded.Report(now, report(2, 0, 1))
		for _, target := range []*forecast.Target{usual, slow, crowded} {
			target.RecordUnread(now, 0)
		}
	}
	crowded.Report(now, report(9, 6, 1))
	crowded.RecordUnread(now, 12000)
	assert.Assert(t, expect(now, slow, size).First > 2*expect(now, usual, size).First)
	assert.Assert(t, expect(now, crowded, size).First > 2*expect(now, usual, size).First)
	assert.Assert(t, expect(now, crowded, size).Work < 1.2*expect(now, usual, size).Work, "the crowd does not slow the machine")
	now = now.Add(4 * time.Second)
	assert.Assert(t, expect(now, slow, size).First > 2*expect(now, usual, size).First)
	assert.Assert(t, expect(now, crowded, size).First < 2*expect(now, usual, size).First)
}

// TestSpikePasses guards against a target that is avoided for seconds because one report came in a short slow moment.
func TestSpikePasses(t *testing.T) {
	service := forecast.NewService()
	target := service.NewTarget(10)
	now := start
	for range 30 {
		now = now.Add(300 * time.Millisecond)
		target.Report(now, report(1, 0, 1))
	}
	before := expect(now, target, forecast.NewSize(2000, 100)).First
	target.Report(now.Add(20*time.Millisecond), report(1, 0, 4))
	now = now.Add(30 * time.Millisecond)
	assert.Assert(t, expect(now, target, forecast.NewSize(2000, 100)).First > 2*before)
	now = now.Add(time.Second)
	assert.Assert(t, expect(now, target, forecast.NewSize(2000, 100)).First < 1.5*before)
}

// TestTargetThatLiesAboutItsSpeed guards against a target that reports a fast machine while its answers take long: what answers took counts too.
func TestTargetThatLiesAboutItsSpeed(t *testing.T) {
	service := forecast.NewService()
	honest, liar := service.NewTarget(10), service.NewTarget(10)
	size := forecast.NewSize(600, 100)
	now := start
	for range 60 {
		now = now.Add(200 * time.Millisecond)
		for _, target := range []*forecast.Target{honest, liar} {
			outlook := expect(now, target, size)
			target.Begin(now, size)
			took := 60 * time.Millisecond
			if target == liar {
				took = 700 * time.Millisecond
			}
			target.Report(now.Add(took), report(1, 0, 0.5))
			target.RecordFirst(now.Add(took), outlook, took)
			target.End(now.Add(took))
		}
	}
	assert.Assert(t, expect(now.Add(time.Second), liar, size).First > 2*expect(now.Add(time.Second), honest, size).First)
	// It recovers.
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		liar.RecordFirst(now, expect(now, liar, size), 60*time.Millisecond)
	}
	assert.Assert(t, expect(now, liar, size).First < 0.2)
}

// TestReportsThatStop guards against a figure that sticks: without reports, a target's forecast returns to its mean load.
func TestReportsThatStop(t *testing.T) {
	service := forecast.NewService()
	target := service.NewTarget(10)
	now := start
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		target.Report(now, report(1, 0, 1))
		target.RecordUnread(now, 0)
	}
	target.Report(now, report(10, 20, 3))
	target.RecordUnread(now, 50000)
	size := forecast.NewSize(600, 100)
	assert.Assert(t, expect(now, target, size).RoomIn > 0)
	later := expect(now.Add(10*time.Second), target, size)
	assert.Assert(t, later.HasRoom())
	assert.Assert(t, later.First < 0.5, "%v", later.First)
}

// TestSpeedIsLearned checks that the forecast approaches what answers of different sizes take, on machines of different speeds.
func TestSpeedIsLearned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perToken := rapid.Float64Range(2e-5, 3e-4).Draw(rt, "perToken")
		fixed := rapid.Float64Range(0.005, 0.1).Draw(rt, "fixed")
		service := forecast.NewService()
		targets := []*forecast.Target{service.NewTarget(10), service.NewTarget(10)}
		speeds := []float64{0.5, 2}
		now := start
		seconds := func(target, tokens int) float64 { return fixed + speeds[target]*perToken*float64(tokens) }
		for i := range 400 {
			now = now.Add(100 * time.Millisecond)
			at, size := i%2, forecast.NewSize([]int{100, 600, 4000}[i%3], 100)
			targets[at].Report(now, report(1, 0, speeds[at]))
			targets[at].RecordFirst(now, expect(now, targets[at], size), time.Duration(seconds(at, size.Tokens)*float64(time.Second)))
		}
		for at, target := range targets {
			for _, tokens := range []int{600, 4000} {
				got, want := expect(now, target, forecast.NewSize(tokens, 100)).First, seconds(at, tokens)
				assert.Assert(rt, got > 0.6*want && got < 1.6*want, "target %d, %d tokens: %v, want %v", at, tokens, got, want)
			}
		}
	})
}

// TestSlotsOfAPlainService checks that requests beyond the slots wait for those that run.
func TestSlotsOfAPlainService(t *testing.T) {
	service := forecast.NewService()
	target := service.NewTarget(6)
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		target.Report(now, forecast.Report{Load: celerylanding.TargetLoad{Running: 2}, Slots: 6})
		target.RecordFirst(now, expect(now, target, forecast.Size{}), 30*time.Millisecond)
	}
	free := expect(now, target, forecast.Size{})
	assert.Assert(t, free.HasRoom())
	assert.Assert(t, free.First > 0.02 && free.First < 0.05, "%v", free.First)
	target.Report(now, forecast.Report{Load: celerylanding.TargetLoad{Running: 6, Waiting: 5}, Slots: 6})
	full := expect(now, target, forecast.Size{})
	assert.Assert(t, full.RoomIn > 0.015 && full.RoomIn < 0.1, "%v", full.RoomIn)
	first, _ := full.InTime(forecast.NewBounds(35*time.Millisecond, 0))
	assert.Assert(t, first < 0.5)
}

// TestBoardKeepsOnlyNews checks what routers know together: sums over routers, one delivery for each reader, nothing of an earlier incarnation, and that
// tokens of a router that has crashed are forgotten.
func TestBoardKeepsOnlyNews(t *testing.T) {
	board := forecast.NewBoard()
	now := start
	board.Add(now, feed.TargetReport{Target: "t", Incarnation: 2, Sent: 500, Slots: 10, Load: celerylanding.TargetLoad{Running: 3}})
	board.Add(now, feed.TargetReport{Target: "t", Incarnation: 2, Sent: 700, Read: 500, Slots: 10, Load: celerylanding.TargetLoad{Running: 1}, Age: time.Second})
	board.Add(now, feed.TargetReport{Target: "t", Incarnation: 1, Sent: 9000})
	list := board.Next(now, "r1", 100)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Unread, 700)
	assert.Equal(t, list[0].Load.Running, 3, "the older report does not replace the newer one")
	assert.Equal(t, len(board.Next(now, "r1", 100)), 0)
	assert.Assert(t, !board.HasNews(now, "r1", 100) && board.HasNews(now, "r2", 100))
	board.Adopt(now.Add(2*time.Second), feed.TargetReport{Target: "u", Incarnation: 1, Unread: 40})
	list = board.Next(now.Add(2*time.Second), "r2", 100)
	assert.Equal(t, len(list), 2)
	for _, report := range list {
		assert.Assert(t, report.Unread < 500)
	}
	board.Add(now.Add(2*time.Second), feed.TargetReport{Target: "t", Incarnation: 3, Sent: 10})
	assert.Equal(t, board.Next(now.Add(2*time.Second), "r2", 100)[0].Unread, 10)
	assert.Equal(t, len(board.Next(now.Add(time.Minute), "r3", 100)), 0)
}
