package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// maxPropagationTime is the time after an acknowledgement by which reads at any controller, and requests at routers in touch, must show that
	// version or a later one.
	maxPropagationTime = 2 * time.Second
	// maxAckTime is the time in which a proper change is acknowledged while the controllers are calm.
	maxAckTime = 4 * time.Second
	// regressSlack is the time after a router's use of a version from which it may use no older one, and slowRegressSlack that of a router with a fault.
	regressSlack     = 250 * time.Millisecond
	slowRegressSlack = 2 * time.Second
	// keptAdditions is the number of versions that keep an added route.
	keptAdditions = 40
	// minAdditionProbes is the number of requests on added routes from which the share of those that are served counts, and minAdditionShare that share.
	minAdditionProbes = 20
	minAdditionShare  = 0.25
)

// variant is one content that was sent under a version, with the path prefix of a route that only it has.
type variant struct {
	body    []byte
	path    string
	isValid bool
}

// versionRecord is what operators have sent and learned of a version.
type versionRecord struct {
	variants []*variant
	// acknowledgedAt is zero until a variant was acknowledged. Variants that are sent later than that must not be in force.
	acknowledgedAt time.Time
	// read is the variant that was read back first.
	read *variant
}

// sighting is the highest version that a router has used in one lifetime.
type sighting struct {
	lifetime int
	version  uint64
	at       time.Time
}

// versionChecker records the versions that operators send and detects those that are lost, late, older again, invalid or mixed up. It is safe for concurrent use.
type versionChecker struct {
	mutex    sync.Mutex
	versions map[uint64]*versionRecord
	// additions are the versions that add a route, in ascending order.
	additions        []uint64
	last             uint64
	lastAcknowledged uint64
	seen             map[string]sighting
	// probes counts the checked requests, and additionProbes and additionsServed those on added routes.
	probes, additionProbes, additionsServed int
}

func newVersionChecker() *versionChecker {
	return &versionChecker{versions: make(map[uint64]*versionRecord), seen: make(map[string]sighting)}
}

// allocate returns the next version, step numbers after the last, and the versions whose routes it has if it is a valid one.
func (check *versionChecker) allocate(step uint64, isValid bool) (version uint64, additions []uint64) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.last += step
	check.versions[check.last] = &versionRecord{}
	if isValid {
		check.additions = append(check.additions, check.last)
	}
	return check.last, slices.Clone(check.additions[max(0, len(check.additions)-keptAdditions):])
}

// addVariant records what is about to be sent under a version.
func (check *versionChecker) addVariant(version uint64, body []byte, path string, isValid bool) *variant {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	record := check.versions[version]
	added := &variant{body: body, path: path, isValid: isValid && record.acknowledgedAt.IsZero()}
	record.variants = append(record.variants, added)
	return added
}

func (check *versionChecker) acknowledge(version uint64, now time.Time) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.lastAcknowledged = max(check.lastAcknowledged, version)
	if record := check.versions[version]; record.acknowledgedAt.IsZero() {
		record.acknowledgedAt = now
	}
}

// held returns the highest acknowledged version with its first content, or zero if there is none.
func (check *versionChecker) held() (version uint64, first *variant) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	if check.lastAcknowledged == 0 {
		return 0, nil
	}
	return check.lastAcknowledged, check.versions[check.lastAcknowledged].variants[0]
}

// checkRead returns the violation that the answer to a read, sent at a time, is, or "".
func (check *versionChecker) checkRead(version uint64, body []byte, sent time.Time) string {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	for acknowledged, record := range check.versions {
		if age := sent.Sub(record.acknowledgedAt); acknowledged > version && !record.acknowledgedAt.IsZero() && age > maxPropagationTime {
			return fmt.Sprintf("older read: version %d, %v after version %d had been acknowledged", version, age, acknowledged)
		}
	}
	record := check.versions[version]
	if record == nil {
		return fmt.Sprintf("invalid in force: version %d was read, which nobody has sent", version)
	}
	for _, sent := range record.variants {
		if !bytes.Equal(sent.body, body) {
			continue
		}
		switch {
		case !sent.isValid:
			return fmt.Sprintf("invalid in force: %s was read", sent.path)
		case record.read != nil && record.read != sent:
			return fmt.Sprintf("other content: %s was read after %s", sent.path, record.read.path)
		}
		record.read = sent
		return ""
	}
	return fmt.Sprintf("other content: version %d was read with %d bytes that nobody has sent", version, len(body))
}

// probe is a request that shows which version a router uses.
type probe struct {
	path    string
	version uint64
	// isAddition is set for a route that later versions keep; otherwise only one variant of the version has it.
	isAddition bool
	isValid    bool
	// newest is the version that must be in force.
	newest uint64
	sent   time.Time
}

// choose returns the next probe, or nil if there is none yet; pick chooses below a number.
func (check *versionChecker) choose(now time.Time, pick func(int) int) *probe {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	chosen := &probe{sent: now, isValid: true}
	var older []uint64
	for version, record := range check.versions {
		if !record.acknowledgedAt.IsZero() && now.Sub(record.acknowledgedAt) > maxPropagationTime {
			chosen.newest = max(chosen.newest, version)
		}
	}
	if chosen.newest == 0 {
		return nil
	}
	if pick(2) == 0 {
		chosen.isAddition, chosen.version, chosen.path = true, chosen.newest, fake.PathOfAddition(chosen.newest)
		return chosen
	}
	for version, record := range check.versions {
		if version+keptAdditions/2 > check.last && len(record.variants) > 0 {
			older = append(older, version)
		}
	}
	if len(older) == 0 {
		return nil
	}
	chosen.version = older[pick(len(older))]
	variants := check.versions[chosen.version].variants
	variant := variants[pick(len(variants))]
	chosen.path, chosen.isValid = variant.path, variant.isValid
	return chosen
}

// answer is the answer of a router to a probe.
type answer struct {
	status int
	at     time.Time
	// lifetime is that of the router's process, or zero if it ended meanwhile.
	lifetime int
	// isCalm is set if the router had to be in touch, and isSound if it had no fault of its own.
	isCalm, isSound bool
}

// checkProbe returns the violations that the answer of a router is.
func (check *versionChecker) checkProbe(chosen *probe, router string, answer *answer) []string {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	isServed := answer.status == http.StatusOK
	if isServed && !chosen.isValid {
		return []string{fmt.Sprintf("invalid in force: %s serves %s", router, chosen.path)}
	}
	// isBefore reports whether the answer shows a version that is older than the given one.
	isBefore := func(version uint64) bool { return isServed && chosen.version < version }
	if chosen.isAddition {
		isMissing := answer.status == http.StatusNotFound && check.keeps(chosen.version)
		isBefore = func(version uint64) bool { return isMissing && chosen.version <= version }
	}
	var violations []string
	if answer.isCalm {
		check.count(chosen.isAddition, isServed)
		if isBefore(chosen.newest) {
			violations = append(violations, fmt.Sprintf("not in force: %s answers %d on %s, %v after version %d was acknowledged", router, answer.status,
				chosen.path, chosen.sent.Sub(check.versions[chosen.newest].acknowledgedAt), chosen.newest))
		}
	}
	if violation := check.checkRegress(chosen, router, answer, isBefore); violation != "" {
		violations = append(violations, violation)
	}
	return violations
}

// checkRegress returns the violation that an answer shows an older version than an earlier answer of the same process, or "".
func (check *versionChecker) checkRegress(chosen *probe, router string, answer *answer, isBefore func(version uint64) bool) (violation string) {
	seen := check.seen[router]
	if answer.lifetime == 0 || seen.lifetime > answer.lifetime {
		return ""
	}
	slack := regressSlack
	if !answer.isSound {
		slack = slowRegressSlack
	}
	if seen.lifetime == answer.lifetime && isBefore(seen.version) && chosen.sent.Sub(seen.at) > slack {
		violation = fmt.Sprintf("older again: %s answers %d on %s, %v after it used version %d", router, answer.status, chosen.path,
			chosen.sent.Sub(seen.at), seen.version)
	}
	if answer.status == http.StatusOK && (seen.lifetime != answer.lifetime || chosen.version > seen.version) {
		check.seen[router] = sighting{answer.lifetime, chosen.version, answer.at}
	}
	return violation
}

// probeCount returns the number of checked requests.
func (check *versionChecker) probeCount() int {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	return check.probes
}

// count counts a checked request.
func (check *versionChecker) count(isAddition, isServed bool) {
	check.probes++
	if isAddition {
		check.additionProbes++
		if isServed {
			check.additionsServed++
		}
	}
}

// keeps reports whether all versions that may be in force have the route that a version has added.
func (check *versionChecker) keeps(version uint64) bool {
	at, ok := slices.BinarySearch(check.additions, version)
	return ok && len(check.additions)-at < keptAdditions
}

// checkAdditions returns the violation that routes which were added are not served, or "".
func (check *versionChecker) checkAdditions() string {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	if check.additionProbes < minAdditionProbes || float64(check.additionsServed) >= minAdditionShare*float64(check.additionProbes) {
		return ""
	}
	return fmt.Sprintf("added route not served: %d of %d requests on added routes are served", check.additionsServed, check.additionProbes)
}
