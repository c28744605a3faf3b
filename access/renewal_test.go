package access_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/access"
)

// TestWaitForWord checks for how long requests wait for word on a router that starts, stands still, is in touch or is cut off.
func TestWaitForWord(t *testing.T) {
	const renewal = 750 * time.Millisecond
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	begun := access.Renewal{}.Request(at(0))
	cut := begun
	for ms := 500; ms <= 10_000; ms += 500 {
		cut = cut.Request(at(ms))
	}
	for name, tc := range map[string]struct {
		renewal access.Renewal
		now     time.Time
		want    time.Duration
	}{
		"no request yet":                 {access.Renewal{}, at(0), renewal},
		"first request":                  {begun, at(100), renewal - 100*time.Millisecond},
		"several without success":        {begun.Request(at(500)).Request(at(700)), at(700), renewal - 700*time.Millisecond},
		"cut off":                        {cut, at(10_100), -9350 * time.Millisecond},
		"stood still, no request yet":    {begun.Succeed(), at(20_000), renewal},
		"stood still under a request":    {begun, at(20_000), renewal},
		"stood still, asks again":        {begun.Request(at(20_000)), at(20_300), renewal - 300*time.Millisecond},
		"stood still while it is cut":    {cut.Request(at(20_000)), at(20_300), renewal - 300*time.Millisecond},
		"cut off after it stood still":   {begun.Request(at(20_000)).Request(at(20_900)), at(20_900), -150 * time.Millisecond},
		"in touch, reply without a word": {begun.Succeed().Request(at(250)), at(250), renewal},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.renewal.WaitEnd(tc.now, tc.now.Add(time.Minute)).Sub(tc.now), tc.want)
			assert.Assert(t, !tc.renewal.WaitEnd(tc.now, tc.now).After(tc.now), "the caller's time goes first")
		})
	}
}
