//go:build !(race && arm64)

package beat_test

// followingProcesses is the size of the fleet in TestFleetFollowsPlatform.
const followingProcesses = 300
