package forecast

// Clone returns a copy that shares nothing with the service; its targets are those that are cloned for it.
func (service *Service) Clone() *Service {
	clone := *service
	return &clone
}

// Clone returns a copy for a clone of the target's service.
func (target *Target) Clone(service *Service) *Target {
	clone := *target
	clone.service = service
	return &clone
}
