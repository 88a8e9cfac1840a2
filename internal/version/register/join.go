package register

// JoinStep is what a host with a disk does to become a voter.
type JoinStep int

// The steps.
const (
	Wait      JoinStep = iota // too little is known; ask again
	Bootstrap                 // learn the entry: it founds the register
	Adopt                     // learn the entry: it founded the register and names this host
	Join                      // read the register, learn the value, then add this host to the voters
)

// PlanJoin returns the next step of a host that may not vote yet, given the
// reports of other hosts on the same request, and the entry to learn. The
// register is founded only if each host in disks has reported and no host at
// all holds a value; the host that sorts first founds it. A host that lost its
// disk therefore never founds a second register beside an existing one.
func PlanJoin(self Member, disks []string, reports []Report) (JoinStep, Entry) {
	var best Entry
	founders := []Member{self}
	for _, r := range reports {
		if r.Accepted.newerThan(best) {
			best = r.Accepted
		}
		if r.From.Identity != 0 && r.From.Host != self.Host {
			founders = append(founders, r.From)
		}
	}
	if !best.IsZero() {
		if best.Value.Version == 0 && best.Value.HasMember(self) {
			return Adopt, best
		}
		return Join, Entry{}
	}
	founding := InitialEntry(founders)
	if !sameHosts(founding.Value.Members, disks) || founding.Value.Members[0] != self {
		return Wait, Entry{}
	}
	return Bootstrap, founding
}

// sameHosts reports whether each host has exactly one member.
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
