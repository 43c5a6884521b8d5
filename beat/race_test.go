//go:build race && arm64

package beat_test

// followingProcesses is the size of the fleet in TestFleetFollowsPlatform. The race detector itself crashes
// on arm64 with more of them; scripts/test runs the test a second time without it there.
const followingProcesses = 30
