package config

// resolve checks the references between sections.
func (reader *reader) resolve() {
	for _, ref := range reader.groupRefs {
		group, ok := reader.config.groups[ref.name]
		switch {
		case !ok:
			ref.field.addProblem("group %q is not defined", ref.name)
		case group.kind != ref.kind:
			ref.field.addProblem("group %q is of kind %s, not %s", ref.name, group.kind, ref.kind)
		}
	}
	for _, ref := range reader.baseRefs {
		reader.resolveBase(ref)
	}
	for _, check := range reader.memoryChecks {
		group, ok := reader.config.groups[check.model.group]
		if ok && check.model.Memory() > group.targetMemory {
			check.field.addProblem("needs %d bytes including its KV cache reserve; the largest target in group %q has %d",
				check.model.Memory(), group.name, group.targetMemory)
		}
	}
}

func (reader *reader) resolveBase(ref baseRef) {
	base, ok := reader.config.Resolve(ref.name)
	if !ok || base.IsAdapter() {
		ref.field.addProblem("base model %q is not defined", ref.name)
		return
	}
	ref.adapter.base = base.id
	ref.adapter.group = base.group
	reader.memoryChecks = append(reader.memoryChecks, memoryCheck{
		&Model{memory: ref.adapter.memory + base.Memory(), group: base.group}, ref.field})
}
