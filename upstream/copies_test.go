package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// TestLateCopyNeverAnswersAnotherRequest guards against an answer that reaches another caller: a target answers a request twice, and the copy arrives at
// any moment of the next request on the connection. The next request gets its own answer, or fails as one that may have run.
func TestLateCopyNeverAnswersAnotherRequest(t *testing.T) {
	copies := map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
		"chunked":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"no content":  "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"unchanged":   "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
		"refusal":     "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"long":        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"interim one": "HTTP/1.1 100 Continue\r\nId: 1\r\n\r\n",
	}
	type moment func(conn net.Conn, late, own string)
	write := func(conn net.Conn, texts ...string) {
		for _, text := range texts {
			_, _ = io.WriteString(conn, text)
			time.Sleep(2 * time.Millisecond)
		}
	}
	moments := map[string]moment{
		"with the answer":   func(conn net.Conn, late, own string) { write(conn, late+own) },
		"before the answer": func(conn net.Conn, late, own string) { write(conn, late, own) },
		"split":             func(conn net.Conn, late, own string) { write(conn, late[:len(late)/2], late[len(late)/2:], own) },
		"split in the line": func(conn net.Conn, late, own string) { write(conn, late[:5], late[5:]+own) },
		"twice":             func(conn net.Conn, late, own string) { write(conn, late+late, own) },
		"after the answer":  func(conn net.Conn, late, own string) { write(conn, own+late) },
	}
	for copyName, late := range copies {
		for momentName, send := range moments {
			for _, method := range []string{http.MethodPost, http.MethodHead} {
				t.Run(fmt.Sprintf("%s, %s, %s", copyName, momentName, method), func(t *testing.T) {
					target := newFakeTarget(t, func(number int64, request *http.Request, conn net.Conn) bool {
						id := request.Header.Get("Id")
						own := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\n", id)
						if request.Method != http.MethodHead {
							own += "own"
						}
						if number == 2 {
							send(conn, late, own)
							return true
						}
						return reply(conn, own)
					})
					pool := newPool()
					for id := 1; id <= 4; id++ {
						response, err := pool.Do(t.Context(), time.Now(), target.address(), &upstream.Request{Method: method, Target: "/a", Host: "h.example",
							Header: http.Header{"Id": {fmt.Sprint(id)}}, ID: fmt.Sprint(id), AnswerID: func(header http.Header) string { return header.Get("Id") }})
						if err != nil {
							assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%v", err)
							continue
						}
						assert.Equal(t, response.Header.Get("Id"), fmt.Sprint(id))
						body, err := io.ReadAll(response)
						response.Close(time.Now())
						if err == nil && method != http.MethodHead {
							assert.Equal(t, string(body), "own")
						}
					}
				})
			}
		}
	}
}
