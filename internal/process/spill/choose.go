package spill

import (
	"math/rand/v2"
	"time"
)

// MaxAge is how old an advert may be.
const MaxAge = 15 * time.Second

// Place is a failure domain and its region.
type Place struct {
	Domain string
	Region string
}

// Advert is what a host last said of its free capacity.
type Advert struct {
	Host         string
	Place        Place
	Free         int       // free slots of its domain's targets
	Accelerators int       // of those slots, with an accelerator
	Queued       int       // tasks waiting at that host
	Heard        time.Time // when the host said so
	Unavailable  bool      // it is draining or suspect
}

// Need is what a job asks for.
type Need struct {
	Tasks        int
	Accelerators int // tasks that need an accelerator
}

// Choose returns the host that gets a job, false if none is fit. Hosts of the
// own region go first; of two fit ones drawn at random the one with more free
// slots is taken.
func Choose(now time.Time, own Place, need Need, adverts []Advert, random *rand.Rand) (string, bool) {
	var near, far []Advert
	for _, a := range adverts {
		switch {
		case !a.fit(now, own, need):
		case a.Place.Region == own.Region:
			near = append(near, a)
		default:
			far = append(far, a)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	first := near[random.IntN(len(near))]
	second := near[random.IntN(len(near))]
	if second.Free > first.Free {
		first = second
	}
	return first.Host, true
}

func (a Advert) fit(now time.Time, own Place, need Need) bool {
	return a.Place.Domain != own.Domain &&
		!a.Unavailable &&
		now.Sub(a.Heard) <= MaxAge &&
		a.Queued == 0 &&
		a.Free >= need.Tasks &&
		a.Accelerators >= need.Accelerators
}
