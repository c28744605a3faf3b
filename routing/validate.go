package routing

import (
	"fmt"
	"strings"

	celerylanding "celerylanding.example/celerylanding"
)

// Validate returns a bad_field error that names the first invalid field.
func (configuration *Configuration) Validate() error {
	services := make(map[celerylanding.ServiceID]bool, len(configuration.Services))
	for i, service := range configuration.Services {
		if service.ID == "" || services[service.ID] {
			return celerylanding.NewFieldError(fmt.Sprintf("services[%d].name", i), "%q must be a unique name", service.ID)
		}
		services[service.ID] = true
	}
	keys := make(map[string]string, len(configuration.Routes))
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if err := route.validate(services); err != nil {
			return celerylanding.ErrBadField.New("routes[%d] (%s): %s", i, route.Name, celerylanding.MessageOf(err))
		}
		key := hostKey(route.Host) + route.Prefix
		if other, ok := keys[key]; ok {
			return celerylanding.NewFieldError(fmt.Sprintf("routes[%d]", i), "route %q has the host and prefix of route %q", route.Name, other)
		}
		keys[key] = route.Name
	}
	return configuration.validateWorkspaces()
}

// validateWorkspaces returns an error that names the field and the workspaces, but no key.
func (configuration *Configuration) validateWorkspaces() error {
	names := make(map[celerylanding.WorkspaceID]bool, len(configuration.Workspaces))
	owners := make(map[celerylanding.KeyDigest]celerylanding.WorkspaceID)
	for i := range configuration.Workspaces {
		workspace := &configuration.Workspaces[i]
		field := fmt.Sprintf("workspaces[%d]", i)
		if workspace.ID == "" || names[workspace.ID] {
			return celerylanding.NewFieldError(field+".name", "%q must be a unique name", workspace.ID)
		}
		names[workspace.ID] = true
		if err := workspace.Quota.validate(); err != nil {
			return celerylanding.ErrBadField.New("%s (%s): %s", field, workspace.ID, celerylanding.MessageOf(err))
		}
		for at, digest := range workspace.Keys {
			if owner, ok := owners[digest]; ok && owner != workspace.ID {
				return celerylanding.NewFieldError(fmt.Sprintf("%s.keys[%d]", field, at), "workspace %q has a key of workspace %q", workspace.ID, owner)
			}
			owners[digest] = workspace.ID
		}
	}
	return nil
}

func (quota Quota) validate() error {
	// The negated comparisons also refuse NaN.
	switch {
	case quota.Unit != QuotaRequests && quota.Unit != QuotaTokens:
		return celerylanding.NewFieldError("unit", "%d is unknown", quota.Unit)
	case !(quota.Rate >= 0):
		return celerylanding.NewFieldError("rate", "%v must not be negative", quota.Rate)
	case !(quota.Burst >= 0):
		return celerylanding.NewFieldError("burst", "%v must not be negative", quota.Burst)
	case quota.DefaultTokens < 0:
		return celerylanding.NewFieldError("default_tokens", "%d must not be negative", quota.DefaultTokens)
	}
	return nil
}

func (route *Route) validate(services map[celerylanding.ServiceID]bool) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return celerylanding.NewFieldError("prefix", "%q must begin and end with a slash", route.Prefix)
	}
	if route.Timeout <= 0 {
		return celerylanding.NewFieldError("timeout", "must be positive")
	}
	sum := 0
	for _, share := range route.Shares {
		if !services[share.Service] {
			return celerylanding.NewFieldError("service", "service %q does not exist", share.Service)
		}
		if share.Weight < 0 {
			return celerylanding.NewFieldError("weight", "%d of service %q must not be negative", share.Weight, share.Service)
		}
		sum += share.Weight
	}
	if sum == 0 {
		return celerylanding.NewFieldError("weight", "weights add up to 0")
	}
	return nil
}
