// Package job defines what a caller submits and what it is answered: the JSON
// documents of POST /v1/jobs and the rules that a submission is checked by.
package job
