package tests_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

// TestBrittleEnginesStayUp guards against routers that together make brittle engines turn away more requests than these bear, and against requests
// that are refused although brittle engines have room.
func TestBrittleEnginesStayUp(t *testing.T) {
	const engines, waiting, tolerance = 4, 8, 3
	for name, tc := range map[string]struct {
		slots  int
		served float64
	}{
		"without enough slots": {1, 0},
		"with enough slots":    {4, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			rooms := make([]*fake.Room, engines)
			for i := range rooms {
				rooms[i] = fake.NewRoom(tc.slots, waiting, tolerance)
			}
			limits := &limitedFleet{arrivals: make(map[int][]time.Time), answers: make(map[int]int)}
			limits.fleet = newFleet(t, engines, func(number int) fake.Options { return fake.Options{HasAllLoaded: true, Room: rooms[number]} })
			limits.send(3 * time.Second)
			_, before := limits.takeAnswers()
			for _, room := range rooms {
				room.SetBrittle(true)
			}
			limits.send(stabilityWindow)
			for _, room := range rooms {
				room.Shrink()
			}
			limits.takeAnswers()
			limits.send(10 * time.Second)
			answers, total := limits.takeAnswers()
			falls := 0
			for _, room := range rooms {
				falls += room.Falls()
			}
			t.Logf("%d answers in 3 s before; %v and %d falls in 10 s while brittle", before, answers, falls)
			assert.Check(t, falls <= 2+engines/10, "%d falls", falls)
			assert.Check(t, answers[http.StatusOK] > 0 && float64(answers[http.StatusOK]) >= tc.served*float64(total), "%v", answers)
		})
	}
}
