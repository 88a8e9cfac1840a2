// Package demo runs the main job as separate processes: two entry hosts in two
// failure domains, targets, and callers with jobs of 1 to 210 tasks.
package demo
