package controller_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/controller"
)

// An operator's call that comes while the hosts start lasts a second. Before,
// the change was tried once in that time, and failed although the register was
// founded in the meantime.
func TestAChangeBeforeTheFirstConfirmedReadIsRepeatedWithinASecond(t *testing.T) {
	g := NewWithT(t)
	var at []time.Duration
	for sum, failed := time.Duration(0), 0; sum < time.Second; failed++ {
		wait := controller.AttemptTime(time.Second, true, true, failed)
		g.Expect(wait).To(BeNumerically(">=", controller.FirstReads), "an attempt needs some round trips and syncs")
		sum += wait
		at = append(at, sum)
	}
	g.Expect(at).To(HaveExactElements(
		100*time.Millisecond, 300*time.Millisecond, 700*time.Millisecond, 1500*time.Millisecond))
}

func TestAttemptsSlowDownToTheUsualTime(t *testing.T) {
	g := NewWithT(t)
	for failed := range 100 {
		g.Expect(controller.AttemptTime(time.Second, true, true, failed)).To(BeNumerically("<=", time.Second))
		g.Expect(controller.AttemptTime(time.Second, true, false, failed)).To(Equal(controller.FirstReads))
		g.Expect(controller.AttemptTime(time.Second, false, true, failed)).To(Equal(time.Second))
		g.Expect(controller.AttemptTime(10*time.Millisecond, true, true, failed)).To(Equal(10 * time.Millisecond))
	}
	g.Expect(controller.AttemptTime(time.Second, true, true, 100)).To(Equal(time.Second))
}

// After a stop of the whole system no entry host holds a value, and each read has
// it sent by every voter: with half a megabyte and 25 Mbit/s the reads of ten times
// a second filled the links, so that no host ever got it.
func TestAHostThatHoldsNothingReadsSeldom(t *testing.T) {
	g := NewWithT(t)
	const value, voters, link = 0.5e6, 5, 25e6 / 8 // bytes; bytes a second
	empty, held := controller.FirstPauses()
	g.Expect(value * voters / empty.Seconds()).To(BeNumerically("<", link/2))
	g.Expect(held).To(Equal(controller.FirstReads))
}

func TestValuesThatAreOvertakenAreNotSent(t *testing.T) {
	g := NewWithT(t)
	g.Expect(controller.Overtaken(1, 2, 3)).To(Equal([]uint64{1, 2}))
	g.Expect(controller.Overtaken(7)).To(BeEmpty())
}
