package soak

import (
	"flag"
	"testing"
	"time"
)

var (
	endlessCallers = flag.Int("endless.callers", 1000, "Callers of TestAnswersWithoutEndTogetherStayWithinMemory.")
	endlessLength  = flag.Duration("endless.length", 6*time.Second, "Time of the faults of one of its runs.")
	endlessMemory  = flag.Int("endless.memory", 144, "Memory of its router in MiB.")
	endlessFaulty  = flag.Int("endless.faulty", 20, "Faulty model engines, of 30.")
)

// minServedShare is the fraction of the requests to plain targets, and to engines that are sound, that are to be
// served beside answers without end: all could be, but for those that meet an engine before it is known as faulty.
const minServedShare = 0.5

// Failure: many targets at a time send bytes that are no answer until their connections are closed. Each answer is
// bounded, but together they take more memory than the smallest machine has, and requests to sound targets wait for
// those that are not.
func TestAnswersWithoutEndTogetherStayWithinMemory(t *testing.T) {
	program := buildRouter(t)
	const engines = 30
	for _, kind := range []Kind{TargetEndlessSecond, TargetEndlessBody, TargetEndlessField, TargetEndlessChunks} {
		t.Run(string(kind), func(t *testing.T) {
			var faults []Fault
			for i := range *endlessFaulty {
				faults = append(faults, Fault{Kind: kind, Index: 2 * i, Duration: *endlessLength})
			}
			report, err := Run(Config{
				Program: program, Dir: t.TempDir(), Seed: 1, Length: *endlessLength, Routers: 1, Targets: 2 * engines,
				Callers: *endlessCallers / 8, StreamCallers: *endlessCallers * 7 / 8, MemoryMB: *endlessMemory, Faults: faults,
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			report.Faults = nil
			t.Log(report)
			if report.Violation != nil {
				t.Fail()
			}
		})
	}
}
