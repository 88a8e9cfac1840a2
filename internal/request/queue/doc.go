// Package queue holds the tasks that wait for a slot, bounded in tasks and
// bytes and fair between teams.
//
// Teams are served by start-time fair queueing (Goyal, Vin and Cheng, 1996):
// each team has a virtual time that grows with the run time it used divided by
// its weight, and the waiting team with the least virtual time goes next. A
// start is charged with the expected run time and corrected by the real one, so
// declaring short tasks gains nothing. Within a team, jobs go by arrival.
//
// A team may hold as many waiting tasks as there are free places (dynamic
// thresholds, Choudhury and Hahne, 1998): one team's flood takes half of the
// queue at most and leaves room for the others.
//
// Withdrawing a job costs time in its own tasks, whatever else waits.
package queue
