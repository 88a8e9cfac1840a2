package register

// JoinStep is the next step of a host with a disk towards becoming a voter.
type JoinStep int

// The join steps.
const (
	Wait      JoinStep = iota // too little is known; ask again
	Bootstrap                 // learn the entry: it is the initial entry of a new register
	Adopt                     // learn the entry: it is the initial entry of the register and names this host
	Join                      // read the register, learn the value, then add this host to the voters
)

// PlanJoin returns the next step of a host that may not vote yet, and the entry to
// learn in that step, if any. It is given the other hosts' reports on one request.
// The register is bootstrapped only if each host in initialHosts has reported and
// no reporting host holds a value; the host that sorts first does it. A host that
// lost its disk therefore never bootstraps a second register besides an existing
// one.
func PlanJoin(self Member, initialHosts []string, reports []Report) (JoinStep, Entry) {
	var newest Entry
	initialMembers := []Member{self}
	for _, r := range reports {
		if r.Accepted.newerThan(newest) {
			newest = r.Accepted
		}
		if r.From.Identity != 0 && r.From.Host != self.Host {
			initialMembers = append(initialMembers, r.From)
		}
	}
	if !newest.IsZero() {
		if newest.Value.Version == 0 && newest.Value.HasMember(self) {
			return Adopt, newest
		}
		return Join, Entry{}
	}
	initial := InitialEntry(initialMembers)
	if !sameHosts(initial.Value.Members, initialHosts) || initial.Value.Members[0] != self {
		return Wait, Entry{}
	}
	return Bootstrap, initial
}

// sameHosts reports whether members has exactly one member for each of the hosts
// and no others.
func sameHosts(members []Member, hosts []string) bool {
	if len(members) != len(hosts) {
		return false
	}
	seen := map[string]bool{}
	for _, m := range members {
		seen[m.Host] = true
	}
	for _, h := range hosts {
		if !seen[h] {
			return false
		}
	}
	return len(seen) == len(hosts)
}
