package controller_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/controller"
)

// An operator's call made while the hosts start lasts one second. With a single
// attempt in that time the change failed although the register was bootstrapped
// meanwhile.
func TestUnconfirmedChangeIsRetriedWithinASecond(t *testing.T) {
	g := NewWithT(t)
	var at []time.Duration
	for sum, failed := time.Duration(0), 0; sum < time.Second; failed++ {
		wait := controller.RetryInterval(time.Second, true, true, failed)
		g.Expect(wait).To(BeNumerically(">=", controller.FirstReadInterval), "an attempt needs some round trips and syncs")
		sum += wait
		at = append(at, sum)
	}
	g.Expect(at).To(HaveExactElements(
		100*time.Millisecond, 300*time.Millisecond, 700*time.Millisecond, 1500*time.Millisecond))
}

func TestRetryIntervalNeverExceedsTheAttemptTimeout(t *testing.T) {
	g := NewWithT(t)
	for failed := range 100 {
		g.Expect(controller.RetryInterval(time.Second, true, true, failed)).To(BeNumerically("<=", time.Second))
		g.Expect(controller.RetryInterval(time.Second, true, false, failed)).To(Equal(controller.FirstReadInterval))
		g.Expect(controller.RetryInterval(time.Second, false, true, failed)).To(Equal(time.Second))
		g.Expect(controller.RetryInterval(10*time.Millisecond, true, true, failed)).To(Equal(10 * time.Millisecond))
	}
	g.Expect(controller.RetryInterval(time.Second, true, true, 100)).To(Equal(time.Second))
}

// After a restart of the whole system no entry host holds a value, so every voter
// sends the value for each read. With a value of half a megabyte and links of
// 25 Mbit/s, ten reads a second filled the links and no host ever received it.
func TestReadsOfAHostWithoutAValueUseUnderHalfTheLink(t *testing.T) {
	g := NewWithT(t)
	const value, voters, link = 0.5e6, 5, 25e6 / 8 // bytes; bytes a second
	empty, held := controller.UnconfirmedReadIntervals()
	g.Expect(value * voters / empty.Seconds()).To(BeNumerically("<", link/2))
	g.Expect(held).To(Equal(controller.FirstReadInterval))
}

func TestSupersededValuesAreNotSent(t *testing.T) {
	g := NewWithT(t)
	g.Expect(controller.Superseded(1, 2, 3)).To(Equal([]uint64{1, 2}))
	g.Expect(controller.Superseded(7)).To(BeEmpty())
}
