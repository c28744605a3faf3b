package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"celerylanding.example/celerylanding/soak/netfault"
)

const (
	// maxLinkFault is the maximum time of a fault of links between controllers and routers.
	maxLinkFault = 9 * time.Second
	// minLoss and maxLoss bound the share of packets that a lossy link loses, and maxDelay what is added to the time that packets take one way.
	minLoss  = 0.1
	maxLoss  = 0.6
	maxDelay = 250 * time.Millisecond
)

// The faults of links, printed by number.
const (
	linkCut = iota
	linkCutOut
	linkCutIn
	linkLossy
	linkSlow
	linkFaultCount
)

// linkFaults returns the faults of the links between two groups of hosts.
func linkFaults(kind int, from, to []string, strength float64) []netfault.Fault {
	out, in := netfault.Fault{From: from, To: to, Loss: 1}, netfault.Fault{From: to, To: from, Loss: 1}
	switch kind {
	case linkCutOut:
		return []netfault.Fault{out}
	case linkCutIn:
		return []netfault.Fault{in}
	case linkLossy:
		out.Loss = minLoss + strength*(maxLoss-minLoss)
		in.Loss = out.Loss
	case linkSlow:
		out.Loss, in.Loss = 0, 0
		out.Delay = time.Duration(strength * float64(maxDelay))
		in.Delay = out.Delay
	}
	return []netfault.Fault{out, in}
}

// injectLinkFault harms the links of one controller to all others, those of one router to all controllers or to one, or those among all.
func (run *runner) injectLinkFault(inject func(name string, fault func() error)) {
	controllers, routers := run.controllerAddresses(), run.routerAddresses()
	kind, strength, length := run.random.IntN(linkFaultCount), run.random.Float64(), time.Duration(run.random.Int64N(int64(maxLinkFault)))
	controller, router := controllers[run.random.IntN(len(controllers))], routers[run.random.IntN(len(routers))]
	var from, to, concerned []string
	isCore := false
	switch run.random.IntN(4) {
	case 0:
		from, to, isCore = []string{controller}, append(slices.Clone(controllers), routers...), true
	case 1:
		from, to, concerned = []string{router}, controllers, []string{router}
	case 2:
		from, to, concerned = []string{router}, []string{controller}, []string{router}
	default:
		kind = linkLossy + kind%2
		everyone := append(slices.Clone(controllers), routers...)
		from, to, isCore = everyone, everyone, true
		concerned = everyone
	}
	if isCore && len(concerned) == 0 {
		concerned = []string{controller}
	}
	inject(fmt.Sprintf("links of %v to %v, fault %d of strength %.2f for %v", from, to, kind, strength, length), func() error {
		endFault := run.faults.begin(isCore && kind >= linkLossy, concerned...)
		err := run.harmLinks(linkFaults(kind, from, to, strength), length)
		endFault()
		return err
	})
}

// harmLinks plays faults of links for a time.
func (run *runner) harmLinks(faults []netfault.Fault, length time.Duration) error {
	end := run.network.Add(faults...)
	err := run.sendLinkFaults()
	time.Sleep(length)
	end()
	return errors.Join(err, run.sendLinkFaults())
}

func (run *runner) sendLinkFaults() error {
	var errs []error
	for _, proc := range run.processes() {
		errs = append(errs, proc.updateFaults())
	}
	return errors.Join(errs...)
}

// replaceController starts a controller at a new address with an empty disk, gives all processes new seeds and ends an old controller for good.
func (run *runner) replaceController() error {
	if !run.controllerFault.TryLock() {
		return nil
	}
	defer run.controllerFault.Unlock()
	before := run.controllers()
	if run.added >= len(before)-1 || !run.mayLoseDisk() {
		// Targets know the addresses of the first controllers only.
		return nil
	}
	old := before[run.added]
	number := run.options.Controllers + run.added
	run.added++
	endFault := run.faults.begin(false, before[len(before)-1].ip, old.ip)
	next := run.newProcess(roleController, run.ip(1, number), fmt.Sprintf("controller%d", number), old.seeds)
	err := os.MkdirAll(next.folder, 0o700)
	if err == nil {
		err = next.start(false)
	}
	time.Sleep(controllerRecoveryTime)
	after := append(slices.Clone(before), next)
	after = slices.DeleteFunc(after, func(proc *process) bool { return proc == old })
	endNew := run.faults.begin(false, next.ip)
	run.controllerList.Store(&after)
	err = errors.Join(err, old.stop(syscall.SIGKILL))
	for _, proc := range run.processes() {
		err = errors.Join(err, proc.changeSeeds(run.seeds()))
	}
	endFault()
	endNew()
	time.Sleep(controllerRecoveryTime)
	return err
}

// newProcess returns a process that is not started yet.
func (run *runner) newProcess(role, ip, name string, seeds []string) *process {
	proc := &process{binary: run.options.firstBinary(), role: role, folder: filepath.Join(run.options.Folder, name), ip: ip, seeds: seeds,
		isController: role == roleController, reportEnd: run.checker.reportViolation}
	if run.options.Previous != "" {
		proc.chooseBinary = func() { run.chooseMixed(proc) }
	}
	if run.options.HasLinks {
		proc.faults = run.network.Faults
	}
	return proc
}

// seeds returns the addresses of controllers that processes begin with.
func (run *runner) seeds() []string {
	var seeds []string
	for _, address := range run.controllerAddresses() {
		if len(seeds) < maxSeeds {
			seeds = append(seeds, address+":8144")
		}
	}
	return seeds
}

func (run *runner) routerAddresses() []string {
	var addresses []string
	for _, proc := range run.routers {
		addresses = append(addresses, proc.ip)
	}
	return addresses
}

// addresses returns the addresses of all processes that a run may start.
func (run *runner) addresses() []string {
	var addresses []string
	for number := range 2 * run.options.Controllers {
		addresses = append(addresses, run.ip(1, number))
	}
	for number := range run.options.Routers {
		addresses = append(addresses, run.ip(2, number))
	}
	return addresses
}

// controllers returns the current controllers.
func (run *runner) controllers() []*process { return *run.controllerList.Load() }

func (run *runner) processes() []*process {
	return append(slices.Clone(run.controllers()), run.routers...)
}
