package throttle

import "time"

const (
	// bucketTime and bucketCount define the span over which a rate is measured; shortBuckets is the part of it that shows a rise early.
	bucketTime   = 250 * time.Millisecond
	bucketCount  = 16
	shortBuckets = 6
	// minShortCount is the number of events from which a rise is no accident.
	minShortCount = 4
	budgetTime    = bucketCount * bucketTime
)

// window counts events of the last 4 s.
type window struct {
	counts [bucketCount]int
	// newest is the number of the bucket of the last event.
	newest int64
}

func bucketAt(now time.Time) int64 { return now.UnixNano() / int64(bucketTime) }

// advance clears the buckets between the last event and now.
func (win *window) advance(now time.Time) {
	current := bucketAt(now)
	if current-win.newest >= bucketCount {
		win.counts = [bucketCount]int{}
	} else {
		for number := win.newest + 1; number <= current; number++ {
			win.counts[number%bucketCount] = 0
		}
	}
	win.newest = max(win.newest, current)
}

func (win *window) add(now time.Time, count int) {
	win.advance(now)
	win.counts[win.newest%bucketCount] += count
}

// last returns the number of events in the newest buckets.
func (win *window) last(now time.Time, buckets int64) int {
	win.advance(now)
	sum := 0
	for age := range buckets {
		sum += win.counts[(win.newest-age+bucketCount)%bucketCount]
	}
	return sum
}

// count returns the number of events in the last budgetTime.
func (win *window) count(now time.Time) int { return win.last(now, bucketCount) }

// rate returns the events a second: over budgetTime, or over the last 1.5 s if that is more and rests on several events.
func (win *window) rate(now time.Time) float64 {
	rate := float64(win.count(now)) / budgetTime.Seconds()
	if short := win.last(now, shortBuckets); short >= minShortCount {
		rate = max(rate, float64(short)/(shortBuckets*bucketTime).Seconds())
	}
	return rate
}

// recentRate returns the events a second over the last 2 s.
func (win *window) recentRate(now time.Time) float64 {
	return float64(win.last(now, bucketCount/2)) / (budgetTime / 2).Seconds()
}
