// Package queue holds the tasks that wait for a slot. It limits their number and
// payload bytes, shares the slots fairly between teams and refuses jobs that are not
// expected to meet their deadline. Package dispatch is its caller. The package
// performs no I/O and reads no clock.
//
// Teams are served by start-time fair queueing (Goyal, Vin and Cheng, 1996): each
// team has a virtual time that grows by the run time that its tasks used divided by
// the weight of the team, and the next task comes from the waiting team with the
// lowest virtual time. A start is charged with the expected run time, which is
// replaced by the actual run time when the task ends, so a team gains nothing by
// declaring short run times. Within a team, jobs are served in order of arrival.
//
// A team may have as many waiting tasks as there are free places in the queue
// (dynamic thresholds, Choudhury and Hahne, 1998): a flood of jobs of one team takes
// at most half of the queue and leaves the rest to the other teams.
//
// The cost of cancelling a job grows with the tasks of the job and not with the
// other tasks that wait.
package queue
