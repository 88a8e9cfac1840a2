package spill

import (
	"math/rand/v2"
	"time"
)

// MaxAdvertAge is the age above which an advert is ignored.
const MaxAdvertAge = 15 * time.Second

// Location identifies a failure domain and its region.
type Location struct {
	Domain string
	Region string
}

// Advert is the free capacity that a host stated last.
type Advert struct {
	Host             string
	Location         Location
	FreeSlots        int       // of the targets in the host's domain
	FreeAccelerators int       // of those slots, the ones with an accelerator
	QueuedTasks      int       // waiting at that host
	AdvertisedAt     time.Time // when the host stated this
	Unavailable      bool      // the host is draining, suspect or failed
}

// Need is the capacity that a job requires.
type Need struct {
	Tasks        int
	Accelerators int // number of tasks that require an accelerator
}

// Choose returns the host to spill a job to, or false if no host is eligible. It
// prefers hosts in own's region. Among those it draws two at random, possibly the
// same one twice, and returns the one with more free slots (power of two choices).
func Choose(now time.Time, own Location, need Need, adverts []Advert, random *rand.Rand) (string, bool) {
	var preferred, otherRegion []Advert
	for _, a := range adverts {
		switch {
		case !a.eligibleFor(now, own, need):
		case a.Location.Region == own.Region:
			preferred = append(preferred, a)
		default:
			otherRegion = append(otherRegion, a)
		}
	}
	if len(preferred) == 0 {
		preferred = otherRegion
	}
	if len(preferred) == 0 {
		return "", false
	}
	chosen := preferred[random.IntN(len(preferred))]
	alternative := preferred[random.IntN(len(preferred))]
	if alternative.FreeSlots > chosen.FreeSlots {
		chosen = alternative
	}
	return chosen.Host, true
}

// eligibleFor reports whether the advert is fresh and its host, in another failure
// domain, is available, has no queue and has free capacity for the whole job.
func (a Advert) eligibleFor(now time.Time, own Location, need Need) bool {
	return a.Location.Domain != own.Domain &&
		!a.Unavailable &&
		now.Sub(a.AdvertisedAt) <= MaxAdvertAge &&
		a.QueuedTasks == 0 &&
		a.FreeSlots >= need.Tasks &&
		a.FreeAccelerators >= need.Accelerators
}
