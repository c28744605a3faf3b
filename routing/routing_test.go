package routing_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

func route(name, host, prefix, service string) routing.Route {
	return routing.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
		Shares: []routing.Share{{Service: celerylanding.ServiceID(service), Weight: 1}}}
}

func configuration() *routing.Configuration {
	return &routing.Configuration{Version: 1, Services: []routing.Service{{ID: "a"}, {ID: "b"}}, Routes: []routing.Route{
		route("short", "x.example", "/", "a"), route("long", "x.example", "/p/q/", "b"), route("middle", "x.example", "/p/", "a"),
		route("other", "y.example", "/p/", "b")}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := routing.NewTable(configuration())
	for _, tc := range []struct{ host, path, want string }{
		{"x.example", "/p/q/r", "long"}, {"x.example", "/p/q", "middle"}, {"x.example", "/z", "short"}, {"X.Example:80", "/p/q/", "long"},
		{"y.example", "/p/q/r", "other"}, {"y.example", "/z", ""}, {"z.example", "/p/", ""}, {"", "/p/", ""},
	} {
		found, ok := table.Match(tc.host, tc.path)
		assert.Equal(t, ok, tc.want != "", "%s%s", tc.host, tc.path)
		if ok {
			assert.Equal(t, found.Name, tc.want, "%s%s", tc.host, tc.path)
		}
	}
}

func TestInvalidConfigurationsNameTheField(t *testing.T) {
	assert.NilError(t, configuration().Validate())
	for name, tc := range map[string]struct {
		corrupt func(*routing.Configuration)
		want    string
	}{
		"unknown service":              {func(c *routing.Configuration) { c.Routes[0].Shares[0].Service = "nobody" }, "nobody"},
		"same host and prefix":         {func(c *routing.Configuration) { c.Routes[1].Prefix = "/p/" }, "middle"},
		"same host and prefix by case": {func(c *routing.Configuration) { c.Routes[1].Prefix, c.Routes[1].Host = "/p/", "X.EXAMPLE" }, "routes[2]"},
		"no weight":                    {func(c *routing.Configuration) { c.Routes[0].Shares[0].Weight = 0 }, "weight"},
		"negative weight":              {func(c *routing.Configuration) { c.Routes[0].Shares[0].Weight = -1 }, "weight"},
		"no timeout":                   {func(c *routing.Configuration) { c.Routes[0].Timeout = 0 }, "timeout"},
		"prefix without final slash":   {func(c *routing.Configuration) { c.Routes[0].Prefix = "/p" }, "prefix"},
		"service twice":                {func(c *routing.Configuration) { c.Services[1].ID = "a" }, "services[1]"},
	} {
		t.Run(name, func(t *testing.T) {
			invalid := configuration()
			tc.corrupt(invalid)
			err := invalid.Validate()
			assert.Assert(t, err != nil)
			assert.Assert(t, strings.Contains(err.Error(), tc.want), "%v", err)
		})
	}
}

func TestRequestsAreSplitByWeight(t *testing.T) {
	split := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := make(map[celerylanding.ServiceID]int)
	for i := range 1000 {
		counts[split.ChooseService(float64(i)/1000)]++
	}
	assert.Equal(t, counts["a"], 900)
	assert.Equal(t, counts["b"], 100)
	assert.Equal(t, counts["c"], 0)
}

func TestRetryableKinds(t *testing.T) {
	for _, tc := range []struct {
		kind      routing.Kind
		resumable bool
		want      bool
	}{{routing.KindOnce, false, false}, {routing.KindOnce, true, false}, {routing.KindIdempotent, false, true}, {routing.KindStream, false, false}, {routing.KindStream, true, true}} {
		kind := routing.Route{Kind: tc.kind, Resumable: tc.resumable}
		assert.Equal(t, kind.IsRetryable(), tc.want)
	}
}
