package delivery_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"celerylanding.example/celerylanding/delivery"
)

// TestMain fixes the seed, so that every run tests the same streams; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261205"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestPositionIsTheIDOfTheLastEvent guards against resuming a stream after an earlier event than the last one that the caller has received, which
// sends events twice, and after a later one.
func TestPositionIsTheIDOfTheLastEvent(t *testing.T) {
	for name, tc := range map[string]struct{ events, position string }{
		"one event":                    {"id: 1\ndata: x\n\n", "1"},
		"several events":               {"id: 1\ndata: x\n\nid: 2\ndata: x\n\n", "2"},
		"text that holds id:":          {"id: 1\ndata: x\n\nid: 2\ndata: the levy was paid: 300\n\n", "2"},
		"line of text that is an ID":   {"id: 1\ndata: x\n\nid: 2\ndata: a\ndata: id: 7\n\n", "2"},
		"comment that holds an ID":     {"id: 1\ndata: x\n\n: id: 7\n\n", "1"},
		"comment line id:":             {"id: 1\n:id: 7\ndata: x\n\n", "1"},
		"ID after the data":            {"data: x\nid: 1\n\n", "1"},
		"two IDs":                      {"id: 1\nid: 2\ndata: x\n\n", "2"},
		"field that ends in id":        {"id: 1\nvalid: 7\ndata: x\n\n", "1"},
		"no space":                     {"id:1\ndata: x\n\n", "1"},
		"two spaces":                   {"id:  1\ndata: x\n\n", " 1"},
		"CRLF":                         {"id: 1\r\ndata: x\r\n\r\n", "1"},
		"CR":                           {"id: 1\rdata: x\r\r", "1"},
		"mixed line ends":              {"id: 1\r\ndata: paid: x\r\n\n", "1"},
		"byte order mark":              {"\xef\xbb\xbfid: 1\ndata: x\n\n", "1"},
		"null character":               {"id: 1\ndata: x\n\nid: 2\x00\n\n", "1"},
		"ID without data":              {"id: 1\ndata: x\n\nid: 2\n\n", "2"},
		"last event without ID":        {"id: 1\ndata: x\n\ndata: x\n\n", ""},
		"ID without colon":             {"id: 1\ndata: x\n\nid\ndata: x\n\n", ""},
		"empty ID":                     {"id: 1\ndata: x\n\nid:\ndata: x\n\n", ""},
		"weight versions come first":   {"x-celerylanding-weight-versions: 3\nid: 1\ndata: x\n\n", "1"},
		"comment that keeps it open":   {"id: 1\ndata: x\n\n: still here\n\n", "1"},
		"blank line between two lines": {"id: 1\ndata: x\n\n\nid: 2\ndata: x\n\n", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := delivery.New("")
			sent.Begin(stream, false)
			assert.NilError(t, sent.RecordEvents([]byte(tc.events)))
			assert.Equal(t, sent.Position(), tc.position)
			assert.Equal(t, sent.CanContinue(), tc.position != "")
		})
	}
}

// TestCommentsAloneLeaveAStreamAtItsBegin guards against ending a stream whose target fails before its first event, but after a comment.
func TestCommentsAloneLeaveAStreamAtItsBegin(t *testing.T) {
	sent := delivery.New("")
	sent.Begin(stream, false)
	assert.NilError(t, sent.RecordEvents([]byte(": still here\n\n")))
	assert.Assert(t, sent.CanContinue())
	assert.Equal(t, sent.Position(), "")
}

// TestResumedStreamBeginsAfterTheLastEvent guards against events that a caller gets twice because a target resumes a stream too early.
func TestResumedStreamBeginsAfterTheLastEvent(t *testing.T) {
	for name, tc := range map[string]struct {
		last, first string
		isRepeated  bool
	}{
		"next event":         {"9", "10", false},
		"later event":        {"9", "15", false},
		"same event":         {"9", "9", true},
		"earlier event":      {"10", "9", true},
		"from the beginning": {"10", "1", true},
		"same name":          {"a", "a", true},
		"other name":         {"b", "a", false},
	} {
		t.Run(name, func(t *testing.T) {
			next := []byte("id: " + tc.first + "\ndata: x\n\nid: 99\ndata: x\n\n")
			sent := delivery.New("")
			assert.NilError(t, sent.Admit(stream))
			sent.Begin(stream, false)
			assert.NilError(t, sent.RecordEvents([]byte("id: "+tc.last+"\ndata: x\n\n")))
			assert.NilError(t, sent.Admit(stream))
			err := sent.RecordEvents(next)
			assert.Equal(t, err != nil, tc.isRepeated, "%v", err)
			if tc.isRepeated {
				assert.ErrorIs(t, err, delivery.ErrRepeatedEvent)
				assert.Equal(t, sent.Position(), tc.last)
			}
			resumed := delivery.New(tc.last)
			assert.NilError(t, resumed.Admit(stream))
			assert.Equal(t, resumed.RecordEvents(next) != nil, tc.isRepeated, "a caller's own attempt to resume")
		})
	}
}

// TestEventsSplitAnywhere guards against events that are lost, cut or held back because of where reads split the stream.
func TestEventsSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// A CR before an LF would make one line end of two.
		end := rapid.SampledFrom(rapid.SampledFrom([][]string{{"\n", "\r\n"}, {"\r", "\r\n"}}).Draw(t, "line ends"))
		var whole strings.Builder
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			for _, line := range []string{"id: 7", "data: paid: x", ": id: 9"} {
				whole.WriteString(line + end.Draw(t, "end"))
			}
			whole.WriteString(end.Draw(t, "blank"))
		}
		var pending []byte
		count := 0
		for rest := whole.String(); rest != ""; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "read")
			pending, rest = append(pending, rest[:size]...), rest[size:]
			complete := delivery.CompleteEvents(pending)
			sent := delivery.New("")
			assert.NilError(t, sent.RecordEvents(pending[:complete]))
			if delivery.HasData(pending[:complete]) {
				assert.Equal(t, sent.Position(), "7")
			}
			count += strings.Count(string(pending[:complete]), "data:")
			pending = pending[complete:]
		}
		assert.Equal(t, count, strings.Count(whole.String(), "data:"))
		assert.Equal(t, strings.Trim(string(pending), "\r\n"), "")
	})
}

// FuzzEvents guards against events of any content that are lost, made up or taken for others, depending on where reads split the stream.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: x\n\n", "id:1\r\ndata: paid: 3\r\n\r\n", "\xef\xbb\xbfid\r\r", ": id: 2\n\n\n", "data\n\nid: \x00\n\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, split int) {
		complete := delivery.CompleteEvents(stream)
		assert.Assert(t, complete >= 0 && complete <= len(stream))
		assert.Equal(t, delivery.CompleteEvents(stream[:complete]), complete)
		whole := delivery.New("")
		assert.NilError(t, whole.RecordEvents(stream[:complete]))
		if split < 0 || split > len(stream) || bytes.HasSuffix(stream[:split], []byte("\r")) {
			// A CR at the end of a read may be half of a line end.
			return
		}
		first := delivery.CompleteEvents(stream[:split])
		rest := stream[first:]
		assert.Equal(t, first+delivery.CompleteEvents(rest), complete)
		if bytes.Contains(rest, []byte("\xef\xbb\xbf")) {
			// A byte order mark counts at the start of a stream only.
			return
		}
		parts := delivery.New("")
		assert.NilError(t, parts.RecordEvents(stream[:first]))
		assert.NilError(t, parts.RecordEvents(rest[:complete-first]))
		assert.Equal(t, parts.Position(), whole.Position())
	})
}
